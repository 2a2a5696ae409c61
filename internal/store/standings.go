package store

import (
	"context"
	"slices"
	"time"

	"caperwheel/internal/group"
	"caperwheel/internal/timing"
	"caperwheel/internal/wire"
)

// standingsWithout reports how the groups owned here stand without a store. Only groups
// whose ownership a majority has confirmed since the ask came are told of: an
// owner that was replaced meanwhile knows an old roster.
func (s *Store) standingsWithout(without string, askedAt time.Duration) *wire.Retired {
	out := &wire.Retired{Groups: []wire.Standing{}, IsKnown: s.d.IsFresh() && s.configs.Current().RetiredStores[without]}
	until := askedAt + s.d.Bounds.Of(timing.AnswerTimeout)
	waiting := s.groupIds()
	for {
		left := []int64{}
		for _, id := range waiting {
			v := s.hostOf(id).View()
			switch {
			case v.Role != group.Owner:
			case !v.IsConfirmed || v.ConfirmedAt < askedAt:
				left = append(left, id)
			default:
				out.Groups = append(out.Groups, NewStanding(id, v, without))
			}
		}
		if waiting = left; len(waiting) == 0 || s.d.Now() > until {
			break
		}
		timing.Wait(context.Background(), s.d.Bounds.Of(timing.Heartbeat)/4)
	}
	for _, g := range out.Groups {
		if slices.Contains(g.Stores, without) {
			out.RemainingGroups++
		}
	}
	return out
}

// NewStanding reports how a group stands without a store.
func NewStanding(id int64, v group.View, without string) wire.Standing {
	out := wire.Standing{Group: id, Term: v.Term, Stores: storeNames(v.Roster)}
	for _, member := range v.CaughtUp {
		if group.Name(member) != without {
			out.UpToDateStores++
		}
	}
	return out
}
