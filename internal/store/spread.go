package store

import (
	"slices"

	"caperwheel/internal/group"
	"caperwheel/internal/repair"
)

// mostMoves is how many of its groups an owner's store moves at a time for the
// sake of an even spread, so that traffic does not feel it.
const mostMoves = 2

// mendPlan gives the member ids of the stores that are here and the names that
// should hold the group: as things are, or, when nothing is missing and not too
// much is on the move, as an even spread has it.
func (s *Store) mendPlan(groupId int64) (map[string]string, []string) {
	known, stores, scene := map[string]string{}, []repair.Store{}, s.scenes.Now()
	if !s.d.IsFresh() { // who is here, and who is retired, is not known well enough
		return known, nil
	}
	for _, who := range s.d.Roll.Kind("store") {
		known[who.Name] = who.Name + "/" + repair.Incarnation(who.Boot)
		stores = append(stores, repair.Store{Name: who.Name, Cell: who.Cell, IsRetired: scene.Retired[who.Name]})
	}
	roster, isWhole := []string{}, true
	members := s.hostOf(groupId).View().Roster
	for _, m := range members {
		name := group.Name(m)
		isWhole = isWhole && known[name] != "" && !scene.Retired[name]
		if !slices.Contains(roster, name) {
			roster = append(roster, name)
		}
	}
	if isWhole && len(roster) >= s.copies() && (s.isMoving(members) || s.moving() < mostMoves) {
		return known, repair.Spread(groupId, stores, s.copies())
	}
	return known, repair.Wanted(groupId, roster, stores, scene.Retired, s.copies())
}

// isMoving tells a roster that is being changed.
func (s *Store) isMoving(members []string) bool {
	return len(members) > s.copies() || slices.ContainsFunc(members, group.IsLearner)
}

// moving counts the groups owned here whose roster is being changed.
func (s *Store) moving() int {
	out := 0
	for _, id := range s.groupIds() {
		if v := s.hostOf(id).View(); v.Role == group.Owner && s.isMoving(v.Roster) {
			out++
		}
	}
	return out
}
