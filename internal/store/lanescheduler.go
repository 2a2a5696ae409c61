package store

import (
	"maps"
	"slices"

	"caperwheel/internal/config"
	"caperwheel/internal/errs"
	"caperwheel/internal/wire"
)

// assignSlot gives a granted slot to the lane whose turn it is: turns are shared by
// urgency among the lanes that the pool may run.
func (d *Dispatcher) assignSlot(g SlotGrant) {
	lane := d.pickLane(g.Pool)
	if lane == "" {
		d.release(g)
		return
	}
	places := d.dispatchablePlaces()
	d.mu.Lock()
	d.nextPlace++
	first := d.nextPlace
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
	ready, rules := d.readyByLane(), d.o.Configs.Current().Rules
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.laneScheduler.pick(pool, ready, rules)
}

// release gives a slot back unused.
func (d *Dispatcher) release(g SlotGrant) {
	err := d.o.Post(g.Holder, &wire.Release{Permit: g.Permit}, nil)
	if err != nil && !errs.Is(err, errs.Lost) {
		d.Wake() // the holder takes it back when it lapses
	}
}

// laneScheduler shares the grants of each pool by urgency among the lanes that wait for them.
//
// Invariant: taken has the grants given since the last count of what is ready.
type laneScheduler struct {
	pools   map[string]*poolSchedule
	granted map[string]int // by lane
}

// poolSchedule are those of one pool's lanes.
//
// Invariant: passed has a lane's grants divided by its urgency. A lane that was idle, or is new,
// catches up on nothing: it stands no further back than floor, where the lane stood that had the newest turn.
type poolSchedule struct {
	virtualTime  map[string]float64
	virtualFloor float64
}

func newLaneScheduler() laneScheduler {
	return laneScheduler{pools: map[string]*poolSchedule{}, granted: map[string]int{}}
}

// begin counts anew, and forgets pools and lanes that are gone.
func (t *laneScheduler) startRound(rules *config.Rules) {
	clear(t.granted)
	for name, p := range t.pools {
		if _, isKnown := rules.Pools[name]; !isKnown {
			delete(t.pools, name)
			continue
		}
		maps.DeleteFunc(p.virtualTime, func(lane string, _ float64) bool {
			_, isKnown := rules.Lanes[lane]
			return !isKnown
		})
	}
}

// pickWeighted returns the lane that a slot of a pool goes to, empty where nothing is left to run.
func (t *laneScheduler) pick(pool string, ready map[string]int, rules *config.Rules) string {
	p := t.pools[pool]
	if p == nil {
		p = &poolSchedule{virtualTime: map[string]float64{}}
		t.pools[pool] = p
	}
	best, least := "", 0.0
	for _, name := range sortedNames(ready) {
		if ready[name] <= t.granted[name] || !slices.Contains(rules.Lanes[name].Pools, pool) {
			continue
		}
		if at := max(p.virtualTime[name], p.virtualFloor); best == "" || at < least {
			best, least = name, at
		}
	}
	if best == "" {
		return ""
	}
	t.granted[best]++
	p.virtualFloor, p.virtualTime[best] = least, least+1/float64(max(1, rules.Lanes[best].Urgency))
	return best
}
