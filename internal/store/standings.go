package store

import (
	"context"
	"slices"
	"time"

	"caperwheel/internal/group"
	"caperwheel/internal/timing"
	"caperwheel/internal/wire"
)

// standingsWithout reports the state of the groups owned here as it would be without a store. It reports only groups
// whose ownership a majority has confirmed since the request arrived, because an owner that was replaced meanwhile has
// an old roster.
func (s *Store) standingsWithout(without string, askedAt time.Duration) *wire.Retired {
	out := &wire.Retired{Groups: []wire.Standing{}, IsKnown: s.d.IsFresh() && s.configs.Current().RetiredStores[without]}
	until := askedAt + s.d.Bounds.Of(timing.AnswerTimeout)
	waiting := s.groupIds()
	for {
		unconfirmed := []int64{}
		for _, id := range waiting {
			v := s.hostOf(id).View()
			switch {
			case v.Role != group.Owner:
			case !v.IsConfirmed || v.ConfirmedAt < askedAt:
				unconfirmed = append(unconfirmed, id)
			default:
				out.Groups = append(out.Groups, NewStanding(id, v, without))
			}
		}
		if waiting = unconfirmed; len(waiting) == 0 || s.d.Now() > until {
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

// NewStanding reports the state of a group as it would be without a store.
func NewStanding(id int64, v group.View, without string) wire.Standing {
	out := wire.Standing{Group: id, Term: v.Term, Stores: storeNames(v.Roster)}
	for _, member := range v.CaughtUp {
		if group.Name(member) != without {
			out.UpToDateStores++
		}
	}
	return out
}
