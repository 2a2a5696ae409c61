package repair

import "time"

// Presence records since when each store has been a member or absent, as seen by one daemon. It does no I/O; all
// times are of that daemon's monotonic clock.
//
// Invariant: a store that is a member has no absentSince, and an absent one keeps the zone in which it was last seen.
type Presence struct {
	zones        map[string]string
	presentSince map[string]time.Duration
	absentSince  map[string]time.Duration
}

// NewPresence returns a Presence without any stores.
func NewPresence() *Presence {
	return &Presence{zones: map[string]string{}, presentSince: map[string]time.Duration{}, absentSince: map[string]time.Duration{}}
}

// Update sets the stores that are members now.
func (p *Presence) Update(present []Store, now time.Duration) {
	isPresent := map[string]bool{}
	for _, s := range present {
		isPresent[s.Name] = true
		p.zones[s.Name] = s.Zone
		delete(p.absentSince, s.Name)
		if _, isKnown := p.presentSince[s.Name]; !isKnown {
			p.presentSince[s.Name] = now
		}
	}
	for name := range p.presentSince {
		if !isPresent[name] {
			delete(p.presentSince, name)
			p.absentSince[name] = now
		}
	}
}

// Absent returns a store of a roster that is not a member now, with how long it has been absent. For a store that was
// never seen, this is the time since the first call for it.
func (p *Presence) Absent(name string, now time.Duration) (store Store, span time.Duration) {
	if _, isKnown := p.absentSince[name]; !isKnown {
		p.absentSince[name] = now
	}
	return Store{Name: name, Zone: p.zones[name], IsAbsent: true}, now - p.absentSince[name]
}

// HasSuccessor reports whether one of the members may be the machine that replaces an absent store: it became a member
// after the other one was gone, or at most the span before earlier. It need not become a holder itself: it may hold the
// group already, in place of a third store. If the absent store was never seen here, any member may be its successor.
func (p *Presence) HasSuccessor(absent Store, members []Store, before time.Duration) bool {
	_, isKnown := p.zones[absent.Name]
	for _, c := range members {
		if !isKnown || p.presentSince[c.Name] >= p.absentSince[absent.Name]-before {
			return true
		}
	}
	return false
}
