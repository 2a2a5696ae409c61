package duty

import (
	"maps"
	"time"

	"caperwheel/internal/wire"
)

// HoldDown keeps two planners with different views of the daemons from moving a duty back and forth: a
// duty that has just moved is not moved again on the mere suspicion that its holder has failed. For a
// planner that has itself seen the holder as a member since it last moved the duty, the holder's
// absence is no suspicion but a fact. So each of two planners with different views can move a duty once
// without waiting; after that, neither has seen the holder that the other chose.
//
// Invariants: terms has the newest term of each duty and when it was first planned; lastSeen has when
// each daemon process was last a member, and movedAt when each duty was last moved, as this planner
// saw it.
type HoldDown struct {
	Period   time.Duration // how long a duty stays before a suspicion may move it
	terms    map[string]observedTerm
	lastSeen map[string]time.Duration // by boot
	movedAt  map[string]time.Duration // by duty
}

// ObserveMembers records which daemons are members now. It is called before each plan.
func (s *HoldDown) ObserveMembers(members []wire.Who, now time.Duration) {
	if s.lastSeen == nil {
		s.lastSeen = map[string]time.Duration{}
	}
	for _, who := range members {
		s.lastSeen[who.Boot] = now
	}
	maps.DeleteFunc(s.lastSeen, func(_ string, at time.Duration) bool { return now-at > departedKeptPeriods*s.Period })
}

// departedKeptPeriods is for how many hold-down periods a departed daemon is remembered.
const departedKeptPeriods = 10

// hasSeenDeparture reports whether this planner has seen a duty's holder as a member since it last moved the
// duty. It is called for a holder that is no member now.
func (s *HoldDown) hasSeenDeparture(key, boot string) bool {
	at, isKnown := s.lastSeen[boot]
	return isKnown && at >= s.movedAt[key]
}

// observedTerm is a duty's term, and when this planner first saw it.
type observedTerm struct {
	term  int64
	since time.Duration
}

// Filter drops the changes that are only due to a suspicion and come before the hold-down period is
// over. The caller reports each change that it carries out with RecordMove.
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
			if !isKnown { // the planner has just started: the term may be old
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

// RecordMove records that a change is carried out now. A planned change that is deferred to a later
// round is not recorded: the planner still counts as having seen the holder depart.
func (s *HoldDown) RecordMove(c Change, now time.Duration) { s.movedAt[c.key()] = now }
