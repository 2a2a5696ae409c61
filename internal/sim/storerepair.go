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

// join takes a blank store into the deployment once it sees another store.
func (s *storeProcess) join() {
	isOther := func(who wire.Who) bool { return who.Name != s.name }
	if !s.isOpen && slices.ContainsFunc(s.membership.OfKind("store"), isOther) {
		s.isOpen = true
	}
}

// noteMembers tells the planner of rosters which stores are members, as Store does.
func (s *storeProcess) noteMembers() {
	if s.isFresh() {
		s.rosters.NoteMembers(s.membership.OfKind("store"), s.configs.Current().RetiredStores, s.now())
	}
}

// rosterPlan is Store's, over what this store knows.
func (s *storeProcess) rosterPlan(id int64, silence repair.Silence) (map[string]string, []string) {
	if !s.isFresh() {
		return map[string]string{}, nil
	}
	s.noteMembers()
	return s.rosters.Plan(id, s.hosts[id].View().Roster, s.changing(), silence, s.now())
}

// changing counts the groups owned here whose roster is being changed.
func (s *storeProcess) changing() int {
	out := 0
	for _, h := range s.hosts {
		if v := h.View(); v.Role == group.Owner && store.IsChanging(v.Roster, copies) {
			out++
		}
	}
	return out
}

// tellStandings is Store's answer to how groups stand without a store: it waits
// for a majority's word on each group that it owns.
func (s *storeProcess) tellStandings(without string, askedAt time.Duration, answer func(any)) {
	life, until := s.life, askedAt+s.d.bound(timing.AnswerTimeout)
	var look func()
	look = func() {
		if !s.isUp || s.life != life {
			return
		}
		out := &wire.Retired{Groups: []wire.Standing{}, IsKnown: s.isFresh() && s.configs.Current().RetiredStores[without]}
		isWaiting := false
		for _, id := range groupIds() {
			h := s.hosts[id]
			if h == nil || h.View().Role != group.Owner {
				continue
			}
			if v := h.View(); !v.IsConfirmed || v.ConfirmedAt < askedAt {
				isWaiting = true
			} else {
				out.Groups = append(out.Groups, store.NewStanding(id, v, without))
			}
		}
		if isWaiting && s.now() <= until {
			s.d.After(s.d.bound(timing.Heartbeat)/4, look)
			return
		}
		answer(out)
	}
	look()
}
