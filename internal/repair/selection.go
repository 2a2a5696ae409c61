// Package repair decides who should hold what a missing or leaving daemon
// held.
package repair

import (
	"slices"
	"strconv"
	"strings"

	"caperwheel/internal/duty"
)

// Store is one store as repair sees it.
type Store struct {
	Name, Zone string
	IsRetired  bool // it is to be emptied
	IsAbsent   bool // it has a seat, but is not a member now
	IsLost     bool // it has been away for so long that another may have its seat
}

// Incarnation reads a store's incarnation out of its boot id.
func Incarnation(boot string) string {
	inc, _, _ := strings.Cut(boot, ".")
	return inc
}

// SpreadHolders gives the stores that should hold a group by name alone: one of each
// zone first, drawn by hash, so that a store that comes or goes changes only
// the groups that it takes or leaves.
func SpreadHolders(groupId int64, stores []Store, copies int) []string {
	return SelectHolders(groupId, nil, stores, copies)
}

// SelectHolders gives the stores that should hold a group whose seats are taken by the
// stores of roster. stores lists the members and, marked as away, the absent ones
// of the roster. Seats go, as far as copies reaches, first to those that hold one
// and are members, then to those that are merely away, since they will be back
// with their disks, then to members that hold none, and only then to stores that
// are lost. Within each of these the zones with the fewest seats come first, and
// then the draw by hash. A retired store keeps its seat only where fewer than two
// others are left to hold the group.
func SelectHolders(groupId int64, roster []string, stores []Store, copies int) []string {
	d := selection{groupId: groupId, copies: copies, zones: map[string]int{}}
	holds := func(s Store) bool { return slices.Contains(roster, s.Name) }
	d.fill(stores, func(s Store) bool { return holds(s) && !s.IsRetired && !s.IsAbsent })
	d.fill(stores, func(s Store) bool { return holds(s) && !s.IsRetired && s.IsAbsent && !s.IsLost })
	d.fill(stores, func(s Store) bool { return !holds(s) && !s.IsRetired && !s.IsAbsent })
	d.fill(stores, func(s Store) bool { return holds(s) && !s.IsRetired && s.IsLost })
	d.copies = min(copies, minHolders)
	d.fill(stores, func(s Store) bool { return holds(s) && s.IsRetired })
	return d.names
}

// minHolders is how many stores a group stands on at least, even if one of
// them is to be emptied.
const minHolders = 2

// selection fills the seats of one group.
type selection struct {
	groupId int64
	copies  int
	zones   map[string]int // seats given, by zone
	names   []string
}

// fill gives seats to those that are eligible, until none is left of either.
func (d *selection) fill(stores []Store, isEligible func(Store) bool) {
	for len(d.names) < d.copies {
		best, top := Store{}, uint64(0)
		for _, s := range stores {
			if !isEligible(s) || slices.Contains(d.names, s.Name) {
				continue
			}
			if rank := d.rank(s); best.Name == "" || rank > top {
				best, top = s, rank
			}
		}
		if best.Name == "" {
			return
		}
		d.names = append(d.names, best.Name)
		d.zones[best.Zone]++
	}
}

// rank is higher the fewer seats a store's zone has; among equals the hash of
// group and store decides.
func (d *selection) rank(s Store) uint64 {
	fewest := uint64(255 - min(d.zones[s.Zone], 255))
	return duty.Rank(strconv.FormatInt(d.groupId, 10), s.Name)>>8 | fewest<<56
}
