package repair

import "time"

// Presence notes since when each store has been a member, or away, as seen by
// one daemon. It does no I/O; all times are of that daemon's monotonic clock.
//
// Invariant: a store that is here has no absentSince, and one that is away keeps
// the zone that it was last seen in.
type Presence struct {
	zones        map[string]string
	presentSince map[string]time.Duration
	absentSince  map[string]time.Duration
}

// NewPresence gives one that has seen nobody.
func NewPresence() *Presence {
	return &Presence{zones: map[string]string{}, presentSince: map[string]time.Duration{}, absentSince: map[string]time.Duration{}}
}

// Note takes in which stores are members now.
func (p *Presence) Update(present []Store, now time.Duration) {
	isHere := map[string]bool{}
	for _, s := range present {
		isHere[s.Name] = true
		p.zones[s.Name] = s.Zone
		delete(p.absentSince, s.Name)
		if _, isKnown := p.presentSince[s.Name]; !isKnown {
			p.presentSince[s.Name] = now
		}
	}
	for name := range p.presentSince {
		if !isHere[name] {
			delete(p.presentSince, name)
			p.absentSince[name] = now
		}
	}
}

// Absent returns a store of a roster that is not a member now, with how long it has
// been away. One that was never seen counts from when it was first asked for.
func (p *Presence) Absent(name string, now time.Duration) (store Store, span time.Duration) {
	if _, isKnown := p.absentSince[name]; !isKnown {
		p.absentSince[name] = now
	}
	return Store{Name: name, Zone: p.zones[name], IsAbsent: true}, now - p.absentSince[name]
}

// HasSuccessor reports whether one of the members may be the machine that was put
// in an absent store's place: it came after the other one went, or not longer than
// before that. It need not be a candidate for the very seat: it may hold the group
// already, in place of a third store. Nothing is known of an absent store that was
// never seen here, so any member may be its successor.
func (p *Presence) HasSuccessor(absent Store, members []Store, before time.Duration) bool {
	_, isKnown := p.zones[absent.Name]
	for _, c := range members {
		if !isKnown || p.presentSince[c.Name] >= p.absentSince[absent.Name]-before {
			return true
		}
	}
	return false
}
