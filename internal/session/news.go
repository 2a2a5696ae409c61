package session

import (
	"time"

	"caperwheel/internal/feed"
	"caperwheel/internal/wire"
)

// factForMembers gives what others than managers need of a member's fact.
func factForMembers(m wire.Member) wire.Fact {
	counts := map[string]int64{}
	if isCore(m.Who.Kind) && isDraining(m) {
		counts[DrainingCount] = 1
	}
	return wire.Fact{Counts: counts}
}

// NewsFor builds the answer to a poll from a view and a membership. Whoever passes news on
// confirms no more than it was told itself.
func NewsFor(poll *wire.Poll, view *feed.View, now time.Duration, membership *Membership) *wire.News {
	out := &wire.News{Parts: view.News(poll.Revisions, now), Members: []wire.Member{}}
	hash, list := membership.VisibleTo(poll.Who.Kind)
	out.MembershipHash = hash
	if hash != poll.MembershipHash {
		for _, m := range list {
			m.Fact = factForMembers(m)
			if m.Owns == nil {
				m.Owns = []wire.Owned{}
			}
			out.Members = append(out.Members, m)
		}
	}
	return out
}
