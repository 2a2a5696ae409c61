package sim

import (
	"slices"

	"caperwheel/internal/group"
	"caperwheel/internal/repair"
	"caperwheel/internal/store"
	"caperwheel/internal/wire"
)

// join takes a blank store into the deployment once it sees another store.
func (s *storeProcess) join() {
	isOther := func(who wire.Who) bool { return who.Name != s.name }
	if !s.isOpen && slices.ContainsFunc(s.roll.Kind("store"), isOther) {
		s.isOpen = true
	}
}

// noteMembers tells the planner of rosters which stores are members, as Store does.
func (s *storeProcess) noteMembers() {
	if s.isFresh() {
		s.rosters.Note(s.roll.Kind("store"), s.scenes.Now().Retired, s.now())
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
