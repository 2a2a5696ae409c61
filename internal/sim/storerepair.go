package sim

import (
	"slices"
	"time"

	"caperwheel/internal/group"
	"caperwheel/internal/repair"
	"caperwheel/internal/store"
	"caperwheel/internal/timing"
	"caperwheel/internal/wire"
)

// join marks a blank store as joined once its membership contains another store.
func (s *storeProcess) join() {
	isOther := func(who wire.Who) bool { return who.Name != s.name }
	if !s.hasJoined && slices.ContainsFunc(s.membership.OfKind("store"), isOther) {
		s.hasJoined = true
	}
}

// noteMembers passes the present stores to the roster planner, as store.Store does.
func (s *storeProcess) noteMembers() {
	if s.isFresh() {
		s.rosterPlanner.NoteMembers(s.membership.OfKind("store"), s.configs.Current().RetiredStores, s.now())
	}
}

// planRoster plans roster changes from this store's view, as store.Store does.
func (s *storeProcess) planRoster(id int64, silence repair.Silence) (map[string]string, []string) {
	if !s.isFresh() {
		return map[string]string{}, nil
	}
	s.noteMembers()
	return s.rosterPlanner.Plan(id, s.hosts[id].View().Roster, s.changingGroupCount(), silence, s.now())
}

// changingGroupCount counts the groups owned by this store whose roster change is under way.
func (s *storeProcess) changingGroupCount() int {
	out := 0
	for _, h := range s.hosts {
		if v := h.View(); v.Role == group.Owner && store.IsChanging(v.Roster, replicaCount) {
			out++
		}
	}
	return out
}

// reportStandings answers whether the groups owned here can do without a store, as store.Store does. It
// waits until a majority has confirmed each ownership after the request.
func (s *storeProcess) reportStandings(without string, requestedAt time.Duration, answer func(any)) {
	generation, until := s.generation, requestedAt+s.d.bound(timing.AnswerTimeout)
	var check func()
	check = func() {
		if !s.isUp || s.generation != generation {
			return
		}
		out := &wire.Retired{Groups: []wire.Standing{}, IsKnown: s.isFresh() && s.configs.Current().RetiredStores[without]}
		isWaiting := false
		for _, id := range groupIds() {
			h := s.hosts[id]
			if h == nil || h.View().Role != group.Owner {
				continue
			}
			if v := h.View(); !v.IsConfirmed || v.ConfirmedAt < requestedAt {
				isWaiting = true
			} else {
				out.Groups = append(out.Groups, store.NewStanding(id, v, without))
			}
		}
		if isWaiting && s.now() <= until {
			s.d.After(s.d.bound(timing.Heartbeat)/4, check)
			return
		}
		answer(out)
	}
	check()
}
