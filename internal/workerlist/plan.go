package workerlist

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// Shares of the rate of calls.
const (
	ownRateShare  = 0.75  // the rest is left to other clients of the list
	fullReadShare = 0.125 // of our share, for the read of all zones while each zone is also read by itself
)

// Plan decides which lists are read concurrently. A short list is read as a whole. If that takes longer than the
// interval, each zone is read by itself, so that a zone whose pages are slow or fail delays no other; a slower read of
// the whole list continues beside them and finds workers of new zones.
//
// Invariant: the first cursor, and no other, has an empty zone.
type Plan struct {
	interval time.Duration // between the starts of two reads, if the rate allows
	cursors  []*Cursor
}

// NewPlan returns a plan that reads the list as a whole.
func NewPlan(interval time.Duration) *Plan {
	return &Plan{interval: interval, cursors: []*Cursor{{}}}
}

// Cursors returns the cursors in use. The slice must not be changed.
func (p *Plan) Cursors() []*Cursor { return p.cursors }

// Interval returns the time between the starts of two reads of one list.
func (p *Plan) Interval() time.Duration { return p.interval }

// Period returns the minimum time between two calls of a cursor. rate is the total number of calls per second that the
// list allows; 0 means no limit.
func (p *Plan) Period(c *Cursor, rate float64) time.Duration {
	if rate <= 0 {
		return 0
	}
	share := rate * ownRateShare
	switch zones := len(p.cursors) - 1; {
	case zones == 0:
	case c.Zone == "":
		share *= fullReadShare
	default:
		share *= (1 - fullReadShare) / float64(zones)
	}
	return time.Duration(float64(time.Second) / share)
}

// Replan decides which lists are read from now on, by the size of the most recent complete read and the zones of the
// known workers.
func (p *Plan) Replan(zones map[string]bool, rate float64) {
	full := p.cursors[0]
	if !full.HasRead {
		return
	}
	if span := p.readTime(full.LastReadPages, rate); span <= p.interval || len(zones) < 2 {
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
	p.cursors = append([]*Cursor{full}, kept...)
}

// readTime returns how long a read of the given number of pages takes if nothing else is read.
func (p *Plan) readTime(pages int, rate float64) time.Duration {
	if rate <= 0 {
		return 0
	}
	return time.Duration(float64(pages) / (rate * ownRateShare) * float64(time.Second))
}
