package duty

import (
	"maps"
	"time"

	"caperwheel/internal/wire"
)

// Steady keeps two planners that see different daemons from pulling a duty to
// and fro: one that has just changed hands is not moved on a guess. That a holder is gone is
// no guess for a planner that has seen it here since it moved the duty itself. Of two that see
// different adapters each may so move a duty once; after that, neither has seen the other's holder.
//
// Invariants: seen has the newest term of each duty and when it was first planned; here has when
// each life of a daemon was last a member, and moved when each duty was last moved, as this
// planner saw it.
type Steady struct {
	Least time.Duration // a duty stays so long before a guess may move it
	seen  map[string]seenTerm
	here  map[string]time.Duration // by boot
	moved map[string]time.Duration // by duty
}

// Note takes in which daemons are members now. It is called before each plan.
func (s *Steady) Note(members []wire.Who, now time.Duration) {
	if s.here == nil {
		s.here = map[string]time.Duration{}
	}
	for _, who := range members {
		s.here[who.Boot] = now
	}
	maps.DeleteFunc(s.here, func(_ string, at time.Duration) bool { return now-at > hereKept*s.Least })
}

// hereKept is for how many times Least a daemon that has gone is remembered.
const hereKept = 10

// isSeenGone reports whether this planner itself has seen a duty's holder come or stay, and go,
// since it last moved the duty.
func (s *Steady) isSeenGone(key, boot string) bool {
	at, isKnown := s.here[boot]
	return isKnown && at >= s.moved[key]
}

type seenTerm struct {
	term int64
	at   time.Duration
}

// Filter drops the guesses that come too early. What is then carried out is noted with Move.
func (s *Steady) Filter(plan []Change, now time.Duration) []Change {
	if s.seen == nil {
		s.seen, s.moved = map[string]seenTerm{}, map[string]time.Duration{}
	}
	out := []Change{}
	for _, c := range plan {
		key := c.key()
		was, isKnown := s.seen[key]
		if !isKnown || was.term != c.IfRevision {
			was = seenTerm{c.IfRevision, now}
			s.seen[key] = was
			if !isKnown { // we have just come: what we know of it may be old
				was.at = now - s.Least
				s.seen[key] = was
			}
		}
		if !c.IsGuess || now-was.at >= s.Least || s.isSeenGone(key, c.Next.Before) {
			out = append(out, c)
		}
	}
	return out
}

// Move notes that a change is carried out now. A change that was planned and left for a later turn has
// moved nothing: that its holder was seen to go stays known.
func (s *Steady) Move(c Change, now time.Duration) { s.moved[c.key()] = now }
