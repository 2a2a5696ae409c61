package store

import (
	"slices"
	"time"

	"caperwheel/internal/group"
	"caperwheel/internal/repair"
)

// noteMembers tells the planner of repairs which stores are members, while that
// is known well enough.
func (s *Store) noteMembers() {
	if !s.d.IsFresh() {
		return
	}
	members, scene := []repair.Store{}, s.scenes.Now()
	for _, who := range s.d.Roll.Kind("store") {
		members = append(members, repair.Store{Name: who.Name, Zone: who.Cell, IsRetired: scene.Retired[who.Name]})
	}
	s.planning.Lock()
	defer s.planning.Unlock()
	s.planner.Note(members, s.d.Now())
}

// repairPlan gives the member ids of the stores that are here and the names of
// those that should hold the group; neither while this store's view is not fresh.
func (s *Store) repairPlan(groupId int64, silence func(name string, now time.Duration) time.Duration) (map[string]string, []string) {
	known := map[string]string{}
	if !s.d.IsFresh() { // who is here, and who is retired, is not known well enough
		return known, nil
	}
	s.noteMembers()
	for _, who := range s.d.Roll.Kind("store") {
		known[who.Name] = who.Name + "/" + repair.Incarnation(who.Boot)
	}
	members := s.hostOf(groupId).View().Roster
	g := repair.Group{Id: groupId, Holders: names(members), IsChanging: s.isChanging(members), Silence: silence}
	under := s.changing()
	s.planning.Lock()
	defer s.planning.Unlock()
	return known, s.planner.Seats(g, s.scenes.Now().Retired, under, s.d.Now())
}

// names gives the stores of a roster, each once.
func names(members []string) []string {
	out := []string{}
	for _, m := range members {
		if name := group.Name(m); !slices.Contains(out, name) {
			out = append(out, name)
		}
	}
	return out
}

// isChanging tells a roster whose change is not finished.
func (s *Store) isChanging(members []string) bool {
	return len(members) > s.copies() || slices.ContainsFunc(members, group.IsLearner)
}

// changing counts the groups owned here whose roster is being changed.
func (s *Store) changing() int {
	out := 0
	for _, id := range s.groupIds() {
		if v := s.hostOf(id).View(); v.Role == group.Owner && s.isChanging(v.Roster) {
			out++
		}
	}
	return out
}
