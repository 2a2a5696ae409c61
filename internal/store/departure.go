package store

import (
	"caperwheel/internal/group"
	"caperwheel/internal/host"
)

// HandOver has the groups that are owned here go to another of their voters, and returns how many
// have still to go.
func HandOver(hosts []*host.Host) (left int) {
	for _, h := range hosts {
		if v := h.View(); v.Role == group.Owner && len(group.Voters(v.Roster)) > 1 {
			left++
			h.HandOver(func(string) bool { return false })
		}
	}
	return left
}

// heldHosts lists the replicas on this store.
func (s *Store) heldHosts() []*host.Host {
	out := []*host.Host{}
	for _, id := range s.groupIds() {
		out = append(out, s.hostOf(id))
	}
	return out
}
