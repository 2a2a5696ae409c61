package store

import (
	"slices"

	"caperwheel/internal/group"
	"caperwheel/internal/repair"
	"caperwheel/internal/wire"
)

// mostMoves is how many of its groups an owner's store moves at a time for the
// sake of an even spread, so that traffic does not feel it.
const mostMoves = 2

// mendPlan gives the member ids of the stores that are here and the names that
// should hold the group: as things are, or, when nothing is missing and not too
// much is on the move, as an even spread has it.
func (s *Store) mendPlan(groupId int64) (map[string]string, []string) {
	if !s.d.IsFresh() { // who is here, and who is retired, is not known well enough
		return map[string]string{}, nil
	}
	return MendPlan(groupId, s.hostOf(groupId).View().Roster, s.d.Roll.Kind("store"), s.scenes.Now().Retired, s.copies(),
		func() bool { return s.moving() < mostMoves })
}

// MendPlan is mendPlan without the daemon around it: from a group's members, the
// stores that are here and the retired ones. It is pure but for isCalm, which
// tells that not too much is on the move.
func MendPlan(groupId int64, members []string, here []wire.Who, retired map[string]bool, copies int,
	isCalm func() bool) (known map[string]string, wanted []string) {
	known, stores := map[string]string{}, []repair.Store{}
	for _, who := range here {
		known[who.Name] = who.Name + "/" + repair.Incarnation(who.Boot)
		stores = append(stores, repair.Store{Name: who.Name, Cell: who.Cell, IsRetired: retired[who.Name]})
	}
	roster, isWhole := []string{}, true
	for _, m := range members {
		name := group.Name(m)
		isWhole = isWhole && known[name] != "" && !retired[name]
		if !slices.Contains(roster, name) {
			roster = append(roster, name)
		}
	}
	if isWhole && len(roster) >= copies && (IsMoving(members, copies) || isCalm()) {
		return known, repair.Spread(groupId, stores, copies)
	}
	return known, repair.Wanted(groupId, roster, stores, retired, copies)
}

// IsMoving tells a roster that is being changed.
func IsMoving(members []string, copies int) bool {
	return len(members) > copies || slices.ContainsFunc(members, group.IsLearner)
}

// moving counts the groups owned here whose roster is being changed.
func (s *Store) moving() int {
	out := 0
	for _, id := range s.groupIds() {
		if v := s.hostOf(id).View(); v.Role == group.Owner && IsMoving(v.Roster, s.copies()) {
			out++
		}
	}
	return out
}
