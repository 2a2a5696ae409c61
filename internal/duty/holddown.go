package duty

import (
	"maps"
	"time"

	"caperwheel/internal/wire"
)

// HoldDown keeps two planners that see different daemons from pulling a duty to
// and fro: one that has just changed hands is not moved on a guess. That a holder is gone is
// no guess for a planner that has seen it here since it moved the duty itself. Of two that see
// different adapters each may so move a duty once; after that, neither has seen the other's holder.
//
// Invariants: seen has the newest term of each duty and when it was first planned; here has when
// each life of a daemon was last a member, and moved when each duty was last moved, as this
// planner saw it.
type HoldDown struct {
	Period   time.Duration // a duty stays so long before a guess may move it
	terms    map[string]observedTerm
	lastSeen map[string]time.Duration // by boot
	movedAt  map[string]time.Duration // by duty
}

// ObserveMembers takes in which daemons are members now. It is called before each plan.
func (s *HoldDown) ObserveMembers(members []wire.Who, now time.Duration) {
	if s.lastSeen == nil {
		s.lastSeen = map[string]time.Duration{}
	}
	for _, who := range members {
		s.lastSeen[who.Boot] = now
	}
	maps.DeleteFunc(s.lastSeen, func(_ string, at time.Duration) bool { return now-at > departedKeptPeriods*s.Period })
}

// departedKeptPeriods is for how many times Least a daemon that has gone is remembered.
const departedKeptPeriods = 10

// hasSeenDeparture reports whether this planner itself has seen a duty's holder come or stay, and go,
// since it last moved the duty.
func (s *HoldDown) hasSeenDeparture(key, boot string) bool {
	at, isKnown := s.lastSeen[boot]
	return isKnown && at >= s.movedAt[key]
}

type observedTerm struct {
	term  int64
	since time.Duration
}

// Filter drops the guesses that come too early. What is then carried out is noted with Move.
func (s *HoldDown) Filter(plan []Change, now time.Duration) []Change {
	if s.terms == nil {
		s.terms, s.movedAt = map[string]observedTerm{}, map[string]time.Duration{}
	}
	out := []Change{}
	for _, c := range plan {
		key := c.key()
		was, isKnown := s.terms[key]
		if !isKnown || was.term != c.IfRevision {
			was = observedTerm{c.IfRevision, now}
			s.terms[key] = was
			if !isKnown { // we have just come: what we know of it may be old
				was.since = now - s.Period
				s.terms[key] = was
			}
		}
		if !c.IsHolderSuspected || now-was.since >= s.Period || s.hasSeenDeparture(key, c.Next.PreviousBoot) {
			out = append(out, c)
		}
	}
	return out
}

// RecordMove notes that a change is carried out now. A change that was planned and left for a later turn has
// moved nothing: that its holder was seen to go stays known.
func (s *HoldDown) RecordMove(c Change, now time.Duration) { s.movedAt[c.key()] = now }
