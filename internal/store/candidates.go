package store

import (
	"cmp"
	"maps"
	"slices"
	"sort"
	"time"

	"caperwheel/internal/config"
	"caperwheel/internal/weight"
	"caperwheel/internal/wire"
)

// candidateTable lists the workers of a pool that may be asked for a slot, with their weights, for one state of the
// configuration and of the membership. It is cached because a pool may have thousands of workers and each slot request
// draws one.
//
// Invariant: cumulative grows along each list.
type candidateTable struct {
	compiled      *config.Compiled
	members       string      // hash of the membership
	local, remote []candidate // remote is used if no local one may be asked; if the pool spills, all are local
}

// candidate is a worker that may be asked for a slot, with the adapter that holds it.
type candidate struct {
	workerInstance
	worker     string
	holder     wire.Who
	weight     float64
	cumulative float64 // sum of the weights up to and including this one
}

// pickAttempts limits the random draws that hit a blocked worker before the whole list is searched for one that is not
// blocked.
const pickAttempts = 4

// pickWorker draws a live worker by weight, whose holder is a member. Workers of the own zone come first; other zones
// follow if no local worker is free, or at once if the pool spills.
func (d *Dispatcher) pickWorker(compiled *config.Compiled, pool string) (candidate, bool) {
	members := d.o.Daemon.Membership.Hash()
	d.mu.Lock()
	defer d.mu.Unlock()
	t := d.candidates[pool]
	if t == nil || t.compiled != compiled || t.members != members {
		t = d.newCandidateTable(compiled, pool, members)
		d.candidates[pool] = t
	}
	now := d.o.Daemon.Now()
	if chosen, isFound := d.pickUnblocked(t.local, now); isFound {
		return chosen, true
	}
	return d.pickUnblocked(t.remote, now)
}

// pickUnblocked draws one of the candidates that may be asked now.
func (d *Dispatcher) pickUnblocked(candidates []candidate, now time.Duration) (candidate, bool) {
	for range pickAttempts {
		if chosen, isFound := d.pickWeighted(candidates); !isFound || now >= d.blockedUntil[chosen.workerInstance] {
			return chosen, isFound
		}
	}
	free, sum := []candidate{}, 0.0
	for _, c := range candidates {
		if now >= d.blockedUntil[c.workerInstance] {
			sum += c.weight
			c.cumulative = sum
			free = append(free, c)
		}
	}
	return d.pickWeighted(free)
}

// pickWeighted draws a candidate by its weight.
func (d *Dispatcher) pickWeighted(candidates []candidate) (candidate, bool) {
	if len(candidates) == 0 {
		return candidate{}, false
	}
	at := d.o.Rand.Float64() * candidates[len(candidates)-1].cumulative
	i := sort.Search(len(candidates), func(i int) bool { return candidates[i].cumulative > at })
	return candidates[min(i, len(candidates)-1)], true
}

// newCandidateTable lists the workers of a pool that may be asked.
func (d *Dispatcher) newCandidateTable(compiled *config.Compiled, pool, members string) *candidateTable {
	t := &candidateTable{compiled: compiled, members: members}
	for name, duty := range compiled.Duties[pool].All() {
		worker, isLive := compiled.CanServe(pool, name)
		holder, isMember := d.o.Daemon.Membership.Find(duty.Holder)
		if !isLive || !isMember || holder.Boot != duty.Boot {
			continue
		}
		isOwnZone := worker.Zone == "" || worker.Zone == d.o.Daemon.Who.Zone
		choice := candidate{workerInstance: workerInstance{pool, name, duty.Boot}, worker: name, holder: holder,
			weight: candidateWeight(compiled.Weights[pool], name, worker.Zone, isOwnZone)}
		if isOwnZone {
			t.local = append(t.local, choice)
		} else {
			t.remote = append(t.remote, choice)
		}
	}
	if compiled.Rules.Pools[pool].AllowsCrossZone && len(t.local) > 0 {
		t.local, t.remote = append(t.local, t.remote...), nil
	}
	accumulateWeights(t.local)
	accumulateWeights(t.remote)
	return t
}

// accumulateWeights sets the cumulative weights.
func accumulateWeights(candidates []candidate) {
	sum := 0.0
	for i := range candidates {
		sum += candidates[i].weight
		candidates[i].cumulative = sum
	}
}

// remoteZonePenalty divides the weight of a worker in another zone, because traffic between zones is expensive.
// Workers that cannot serve are not listed at all.
const remoteZonePenalty = 32

// candidateWeight returns the relative likelihood that a worker is asked: the published weight of the worker and of
// its zone, reduced for other zones.
func candidateWeight(published weight.Weights, worker, zone string, isOwnZone bool) float64 {
	out := 1.0
	if w, isKnown := published.Workers[worker]; isKnown {
		out = w
	}
	if w, isKnown := published.Zones[zone]; isKnown {
		out *= w
	}
	if !isOwnZone {
		out /= remoteZonePenalty
	}
	return max(out, weight.WeightFloor*weight.WeightFloor)
}

// sortedNames returns the keys of a map in order.
func sortedNames[V any](m map[string]V) []string {
	return slices.SortedFunc(maps.Keys(m), cmp.Compare[string])
}
