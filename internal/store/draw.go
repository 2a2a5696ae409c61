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

// drawTable has the workers of a pool that may be asked for a slot, with their shares, as of one
// state of the configuration and of the membership. Pools may have very many workers, and each ask draws.
//
// Invariants: the sums grow along each.
type drawTable struct {
	compiled *config.Compiled
	members  string       // hash of the membership
	own, far []drawChoice // far only where no own one may be asked; a pool that spills has all in own
}

// drawChoice is a worker that may be asked, at its holder.
type drawChoice struct {
	seat
	worker string
	holder wire.Who
	share  float64
	sum    float64 // of the shares up to this one
}

// drawTries is how often one is drawn that is not to be asked now, before all are looked at.
const drawTries = 4

// draw picks a worker that may serve, whose holder is here, by weight: own
// zone first, others as far as the pool spills.
func (d *Dispatcher) draw(compiled *config.Compiled, pool string) (drawChoice, bool) {
	members := d.o.Daemon.Membership.Hash()
	d.mu.Lock()
	defer d.mu.Unlock()
	t := d.tables[pool]
	if t == nil || t.compiled != compiled || t.members != members {
		t = d.newTable(compiled, pool, members)
		d.tables[pool] = t
	}
	now := d.o.Daemon.Now()
	if chosen, isFound := d.drawFrom(t.own, now); isFound {
		return chosen, true
	}
	return d.drawFrom(t.far, now)
}

// drawFrom draws one of the choices that is not to be left alone now.
func (d *Dispatcher) drawFrom(choices []drawChoice, now time.Duration) (drawChoice, bool) {
	for range drawTries {
		if chosen, isFound := d.pick(choices); !isFound || now >= d.pauses[chosen.seat] {
			return chosen, isFound
		}
	}
	free, sum := []drawChoice{}, 0.0
	for _, c := range choices {
		if now >= d.pauses[c.seat] {
			sum += c.share
			c.sum = sum
			free = append(free, c)
		}
	}
	return d.pick(free)
}

// pick draws by share.
func (d *Dispatcher) pick(choices []drawChoice) (drawChoice, bool) {
	if len(choices) == 0 {
		return drawChoice{}, false
	}
	at := d.o.Rand.Float64() * choices[len(choices)-1].sum
	i := sort.Search(len(choices), func(i int) bool { return choices[i].sum > at })
	return choices[min(i, len(choices)-1)], true
}

// newTable lists the workers of a pool that may be asked.
func (d *Dispatcher) newTable(compiled *config.Compiled, pool, members string) *drawTable {
	t := &drawTable{compiled: compiled, members: members}
	for name, duty := range compiled.Duties[pool].All() {
		worker, isLive := compiled.CanServe(pool, name)
		holder, isMember := d.o.Daemon.Membership.Find(duty.Holder)
		if !isLive || !isMember || holder.Boot != duty.Boot {
			continue
		}
		isOwnZone := worker.Zone == "" || worker.Zone == d.o.Daemon.Who.Zone
		choice := drawChoice{seat: seat{pool, name, duty.Boot}, worker: name, holder: holder,
			share: drawWeight(compiled.Weights[pool], name, worker.Zone, isOwnZone)}
		if isOwnZone {
			t.own = append(t.own, choice)
		} else {
			t.far = append(t.far, choice)
		}
	}
	if compiled.Rules.Pools[pool].Spill && len(t.own) > 0 {
		t.own, t.far = append(t.own, t.far...), nil
	}
	addUp(t.own)
	addUp(t.far)
	return t
}

func addUp(choices []drawChoice) {
	sum := 0.0
	for i := range choices {
		sum += choices[i].share
		choices[i].sum = sum
	}
}

// farShare: a worker of another zone is asked so much more seldom than one of
// our own. Bytes between zones are dear; one that cannot serve is not drawn at all.
const farShare = 32

// drawWeight is how likely a worker is asked, against others: as published by
// its pool's controller, and less across zones.
func drawWeight(published weight.Weights, worker, zone string, isOwnZone bool) float64 {
	out := 1.0
	if w, isKnown := published.Workers[worker]; isKnown {
		out = w
	}
	if w, isKnown := published.Zones[zone]; isKnown {
		out *= w
	}
	if !isOwnZone {
		out /= farShare
	}
	return max(out, weight.Least*weight.Least)
}

// sortedNames returns the keys of a map in order.
func sortedNames[V any](m map[string]V) []string {
	return slices.SortedFunc(maps.Keys(m), cmp.Compare[string])
}
