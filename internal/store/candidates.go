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

// candidateTable has the workers of a pool that may be asked for a slot, with their shares, as of one
// state of the configuration and of the membership. Pools may have very many workers, and each ask draws.
//
// Invariants: the sums grow along each.
type candidateTable struct {
	compiled      *config.Compiled
	members       string      // hash of the membership
	local, remote []candidate // far only where no own one may be asked; a pool that spills has all in own
}

// candidate is a worker that may be asked, at its holder.
type candidate struct {
	workerInstance
	worker     string
	holder     wire.Who
	share      float64
	cumulative float64 // of the shares up to this one
}

// pickAttempts is how often one is drawn that is not to be asked now, before all are looked at.
const pickAttempts = 4

// pickWorker picks a worker that may serve, whose holder is here, by weight: own
// zone first, others as far as the pool spills.
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

// pickUnblocked draws one of the choices that is not to be left alone now.
func (d *Dispatcher) pickUnblocked(choices []candidate, now time.Duration) (candidate, bool) {
	for range pickAttempts {
		if chosen, isFound := d.pickWeighted(choices); !isFound || now >= d.blockedUntil[chosen.workerInstance] {
			return chosen, isFound
		}
	}
	free, sum := []candidate{}, 0.0
	for _, c := range choices {
		if now >= d.blockedUntil[c.workerInstance] {
			sum += c.share
			c.cumulative = sum
			free = append(free, c)
		}
	}
	return d.pickWeighted(free)
}

// pickWeighted draws by share.
func (d *Dispatcher) pickWeighted(choices []candidate) (candidate, bool) {
	if len(choices) == 0 {
		return candidate{}, false
	}
	at := d.o.Rand.Float64() * choices[len(choices)-1].cumulative
	i := sort.Search(len(choices), func(i int) bool { return choices[i].cumulative > at })
	return choices[min(i, len(choices)-1)], true
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
			share: candidateWeight(compiled.Weights[pool], name, worker.Zone, isOwnZone)}
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

func accumulateWeights(choices []candidate) {
	sum := 0.0
	for i := range choices {
		sum += choices[i].share
		choices[i].cumulative = sum
	}
}

// remoteZonePenalty: a worker of another zone is asked so much more seldom than one of
// our own. Bytes between zones are dear; one that cannot serve is not drawn at all.
const remoteZonePenalty = 32

// candidateWeight is how likely a worker is asked, against others: as published by
// its pool's controller, and less across zones.
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
