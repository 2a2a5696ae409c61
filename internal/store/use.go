package store

import (
	"maps"
	"slices"

	"caperwheel/internal/config"
	"caperwheel/internal/errs"
	"caperwheel/internal/wire"
)

// use gives a granted slot to the lane whose turn it is: turns are shared by
// urgency among the lanes that the pool may run.
func (d *Dispatcher) use(g SlotGrant) {
	lane := d.pickLane(g.Pool)
	if lane == "" {
		d.release(g)
		return
	}
	places := d.places()
	d.mu.Lock()
	d.next++
	first := d.next
	d.mu.Unlock()
	for i := range places {
		p := places[(first+i)%len(places)]
		if p.Ready()[lane] > 0 {
			if err := d.o.Start(p, lane, g); err != nil {
				break
			}
			return
		}
	}
	d.release(g)
}

func (d *Dispatcher) pickLane(pool string) string {
	ready, rules := d.ready(), d.o.Configs.Current().Rules
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.turns.pick(pool, ready, rules)
}

// release gives a slot back unused.
func (d *Dispatcher) release(g SlotGrant) {
	err := d.o.Post(g.Holder, &wire.Release{Permit: g.Permit}, nil)
	if err != nil && !errs.Is(err, errs.Lost) {
		d.Nudge() // the holder takes it back when it lapses
	}
}

// laneTurns shares the grants of each pool by urgency among the lanes that wait for them.
//
// Invariant: taken has the grants given since the last count of what is ready.
type laneTurns struct {
	pools map[string]*poolTurns
	taken map[string]int // by lane
}

// poolTurns are those of one pool's lanes.
//
// Invariant: passed has a lane's grants divided by its urgency. A lane that was idle, or is new,
// catches up on nothing: it stands no further back than floor, where the lane stood that had the newest turn.
type poolTurns struct {
	passed map[string]float64
	floor  float64
}

func newLaneTurns() laneTurns {
	return laneTurns{pools: map[string]*poolTurns{}, taken: map[string]int{}}
}

// begin counts anew, and forgets pools and lanes that are gone.
func (t *laneTurns) begin(rules *config.Rules) {
	clear(t.taken)
	for name, p := range t.pools {
		if _, isKnown := rules.Pools[name]; !isKnown {
			delete(t.pools, name)
			continue
		}
		maps.DeleteFunc(p.passed, func(lane string, _ float64) bool {
			_, isKnown := rules.Lanes[lane]
			return !isKnown
		})
	}
}

// pick returns the lane that a slot of a pool goes to, empty where nothing is left to run.
func (t *laneTurns) pick(pool string, ready map[string]int, rules *config.Rules) string {
	p := t.pools[pool]
	if p == nil {
		p = &poolTurns{passed: map[string]float64{}}
		t.pools[pool] = p
	}
	best, least := "", 0.0
	for _, name := range sortedNames(ready) {
		if ready[name] <= t.taken[name] || !slices.Contains(rules.Lanes[name].Pools, pool) {
			continue
		}
		if at := max(p.passed[name], p.floor); best == "" || at < least {
			best, least = name, at
		}
	}
	if best == "" {
		return ""
	}
	t.taken[best]++
	p.floor, p.passed[best] = least, least+1/float64(max(1, rules.Lanes[best].Urgency))
	return best
}
