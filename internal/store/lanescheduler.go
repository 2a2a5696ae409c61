package store

import (
	"maps"
	"slices"

	"caperwheel/internal/config"
	"caperwheel/internal/errs"
	"caperwheel/internal/wire"
)

// assignSlot gives a granted slot to the lane that is next in turn, among the ready lanes that may use the pool. Lanes
// share the slots in proportion to their urgency.
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

// pickLane returns the lane that gets the next slot of a pool, empty if no lane has a ready message.
func (d *Dispatcher) pickLane(pool string) string {
	ready, rules := d.readyByLane(), d.o.Configs.Current().Rules
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.laneScheduler.pick(pool, ready, rules)
}

// release returns an unused slot to its holder.
func (d *Dispatcher) release(g SlotGrant) {
	err := d.o.Post(g.Holder, &wire.Release{Permit: g.Permit}, nil)
	if err != nil && !errs.Is(err, errs.Lost) {
		d.Wake() // the holder frees the slot when the permit expires
	}
}

// laneScheduler shares the slots of each pool among the lanes with ready messages, in proportion to their urgency
// (weighted fair queueing).
//
// Invariant: granted counts the slots assigned since ready messages were last counted.
type laneScheduler struct {
	pools   map[string]*poolSchedule
	granted map[string]int // by lane
}

// poolSchedule is the schedule of one pool's lanes.
//
// Invariant: virtualTime is a lane's number of slots divided by its urgency. A lane that is new or was idle does not
// catch up: its virtual time counts as no less than virtualFloor, the virtual time of the lane that had the last slot.
type poolSchedule struct {
	virtualTime  map[string]float64 // by lane
	virtualFloor float64
}

func newLaneScheduler() laneScheduler {
	return laneScheduler{pools: map[string]*poolSchedule{}, granted: map[string]int{}}
}

// startRound resets the counts of granted slots, and drops pools and lanes that were removed.
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

// pick returns the lane that the next slot of a pool goes to, empty if no ready message is left.
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
