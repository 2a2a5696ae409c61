package store

import (
	"slices"

	"caperwheel/internal/errs"
	"caperwheel/internal/wire"
)

// use gives a granted slot to the lane whose turn it is: turns are shared by
// urgency among the lanes that the pool may run.
func (d *dispatcher) use(g SlotGrant) {
	lane := d.pickLane(g.Pool)
	if lane == "" {
		d.release(g)
		return
	}
	places := d.s.ownPlaces()
	d.mu.Lock()
	d.next++
	first := d.next
	d.mu.Unlock()
	for i := range places {
		p := places[(first+i)%len(places)]
		if p.Ready()[lane] > 0 {
			if err := p.host.Do(func() { p.Start(lane, g) }); err != nil {
				break
			}
			return
		}
	}
	d.release(g)
}

func (d *dispatcher) pickLane(pool string) string {
	ready, compiled := d.ready(), d.s.configs.Current()
	d.mu.Lock()
	defer d.mu.Unlock()
	best, least := "", 0.0
	for name, n := range ready {
		lane := compiled.Rules.Lanes[name]
		if n <= d.taken[name] || !slices.Contains(lane.Pools, pool) {
			continue
		}
		if best == "" || d.passed[name] < least {
			best, least = name, d.passed[name]
		}
	}
	if best == "" {
		return ""
	}
	d.taken[best]++
	d.passed[best] += 1 / float64(max(1, compiled.Rules.Lanes[best].Urgency))
	for name := range d.passed { // a lane that was idle does not catch up on turns
		d.passed[name] = max(d.passed[name], least)
	}
	return best
}

// release gives a slot back unused.
func (d *dispatcher) release(g SlotGrant) {
	err := d.s.d.Node.Peer(wire.RunLink, g.Holder.Addr).Post(&wire.Release{Permit: g.Permit}, nil)
	if err != nil && !errs.Is(err, errs.Lost) {
		d.nudge() // the holder takes it back when it lapses
	}
}
