package store

import (
	"caperwheel/internal/group"
	"caperwheel/internal/repair"
)

// noteMembers updates the roster planner with the current member stores, if the view is fresh.
func (s *Store) noteMembers() {
	if s.d.IsFresh() {
		s.rosters.NoteMembers(s.d.Membership.OfKind("store"), s.configs.Current().RetiredStores, s.d.Now())
	}
}

// rosterPlan returns the member ids of the current stores and the names of the stores that should hold the group. Both
// are empty while this store's view is not fresh.
func (s *Store) rosterPlan(groupId int64, silence repair.Silence) (map[string]string, []string) {
	if !s.d.IsFresh() { // members and retired stores are not known well enough
		return map[string]string{}, nil
	}
	s.noteMembers()
	return s.rosters.Plan(groupId, s.hostOf(groupId).View().Roster, s.countChanging(), silence, s.d.Now())
}

// countChanging counts the groups owned here whose roster change is not finished.
func (s *Store) countChanging() int {
	out := 0
	for _, id := range s.groupIds() {
		if v := s.hostOf(id).View(); v.Role == group.Owner && IsChanging(v.Roster, s.replicas()) {
			out++
		}
	}
	return out
}
