package session

import (
	"time"

	"caperwheel/internal/feed"
	"caperwheel/internal/wire"
)

// factForMembers returns the part of a member's fact that daemons other than managers need.
func factForMembers(m wire.Member) wire.Fact {
	counts := map[string]int64{}
	if isCore(m.Who.Kind) && isDraining(m) {
		counts[DrainingCount] = 1
	}
	if m.Fact.Counts[ClaimsCount] > 0 { // for stores, which see adapters
		counts[ClaimsCount] = 1
	}
	return wire.Fact{Counts: counts}
}

// NewsFor builds the reply to a poll from a view and a membership. A daemon that relays changes confirms no
// more than was confirmed to itself.
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
