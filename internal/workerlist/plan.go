package workerlist

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// Shares of the list's rate.
const (
	ownRateShare  = 0.75  // the rest is left for the calls of others
	fullReadShare = 0.125 // of ours, for the read of all zones while each zone is read by itself
)

// Plan is which lists are read side by side. A short list is read whole. One whose read takes
// longer than its interval is read by zone, so that a zone whose pages are slow or fail holds up
// no other; a slower read of everything goes on beside, and finds workers of zones that had none.
//
// Invariant: cursors has one without a zone, the first.
type Plan struct {
	interval time.Duration // between the beginnings of two reads, where the rate allows that
	cursors  []*Cursor
}

// NewPlan returns a plan that reads the whole list.
func NewPlan(interval time.Duration) *Plan {
	return &Plan{interval: interval, cursors: []*Cursor{{}}}
}

// Cursors returns the lists that are read now. The slice must not be changed.
func (p *Plan) Cursors() []*Cursor { return p.cursors }

// Interval returns the time between the beginnings of two reads of one list.
func (p *Plan) Interval() time.Duration { return p.interval }

// Period returns the least time between two calls of a cursor. rate is how many calls a second
// the list takes from all; 0 for no bound.
func (p *Plan) Period(c *Cursor, rate float64) time.Duration {
	if rate <= 0 {
		return 0
	}
	ours := rate * ownRateShare
	switch zones := len(p.cursors) - 1; {
	case zones == 0:
	case c.Zone == "":
		ours *= fullReadShare
	default:
		ours *= (1 - fullReadShare) / float64(zones)
	}
	return time.Duration(float64(time.Second) / ours)
}

// Replan decides anew which lists are read, from the newest complete read of everything and the
// zones of the workers that are known.
func (p *Plan) Replan(zones map[string]bool, rate float64) {
	whole := p.cursors[0]
	if !whole.HasRead {
		return
	}
	if span := p.readTime(whole.LastReadPages, rate); span <= p.interval || len(zones) < 2 {
		p.cursors = p.cursors[:1]
		return
	}
	kept := slices.DeleteFunc(slices.Clone(p.cursors[1:]), func(c *Cursor) bool { return !zones[c.Zone] })
	for _, zone := range slices.Sorted(maps.Keys(zones)) {
		if zone != "" && !slices.ContainsFunc(kept, func(c *Cursor) bool { return c.Zone == zone }) {
			kept = append(kept, &Cursor{Zone: zone})
		}
	}
	slices.SortFunc(kept, func(a, b *Cursor) int { return cmp.Compare(a.Zone, b.Zone) })
	p.cursors = append([]*Cursor{whole}, kept...)
}

// readTime returns how long a read of so many pages takes where nothing else is read.
func (p *Plan) readTime(pages int, rate float64) time.Duration {
	if rate <= 0 {
		return 0
	}
	return time.Duration(float64(pages) / (rate * ownRateShare) * float64(time.Second))
}
