// Package repair decides which daemons take over from a missing or retiring one. Planner selects the stores that
// should hold the replicas of a group; the group then changes its roster step by step (see group.Group.Repair).
// ResultBuffer keeps the results of runs for adapters that may fail before they can deliver them; agents and stores
// use it.
package repair

import (
	"slices"
	"strconv"
	"strings"

	"caperwheel/internal/duty"
)

// Store is a store that holds, or may hold, a replica of a group.
type Store struct {
	Name, Zone string
	IsRetired  bool // its replicas are to be moved to other stores
	IsAbsent   bool // it holds a replica, but is not a member now
	IsLost     bool // it has been absent for so long that another store may replace it
}

// Incarnation returns the store's incarnation, which is the first part of its boot id.
func Incarnation(boot string) string {
	inc, _, _ := strings.Cut(boot, ".")
	return inc
}

// SpreadHolders returns the stores that should hold a group, regardless of which hold it now: one of each zone first,
// ordered by rendezvous hashing, so that a store that is added or removed affects only the groups that it receives or
// gives up.
func SpreadHolders(groupId int64, stores []Store, copies int) []string {
	return SelectHolders(groupId, nil, stores, copies)
}

// SelectHolders returns the stores that should hold a group which the stores of roster hold now. stores lists the
// members and, marked as absent, the other stores of the roster. Up to the number of copies it selects first the
// holders that are members, then absent holders, since they will come back with their disks, then members that are
// not holders, and only then lost holders. Within each of these classes, zones with the fewest selected stores come
// first, and then the order by hash decides. A retired store is selected only if fewer than minHolders others are.
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

// minHolders is the number of stores below which a group keeps a retired store as a holder.
const minHolders = 2

// selection selects the holders of one group.
type selection struct {
	groupId int64
	copies  int
	zones   map[string]int // number of selected stores by zone
	names   []string
}

// fill selects eligible stores until there are enough or no more.
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

// rank returns a rank that is higher the fewer stores of the store's zone are selected; among equals the hash of
// group and store decides.
func (d *selection) rank(s Store) uint64 {
	fewest := uint64(255 - min(d.zones[s.Zone], 255))
	return duty.Rank(strconv.FormatInt(d.groupId, 10), s.Name)>>8 | fewest<<56
}
