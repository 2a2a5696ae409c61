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
	Name, Cell string
	IsRetired  bool
}

// Incarnation reads a store's incarnation out of its boot id.
func Incarnation(boot string) string {
	inc, _, _ := strings.Cut(boot, ".")
	return inc
}

// Spread gives the stores that should hold a group by name alone: one of each
// cell first, drawn by hash, so that a store that comes or goes changes only
// the groups that it takes or leaves.
func Spread(groupId int64, stores []Store, copies int) []string {
	return Wanted(groupId, nil, stores, nil, copies)
}

// Wanted gives the stores that should hold a group: those that hold it now and
// are not retired, and as many more as copies asks for, from cells that have
// none yet, drawn by hash. A store that is merely away keeps its seat: it will
// be back with its disk. When nothing can take a retired store's seat, it
// keeps the seat too.
func Wanted(groupId int64, roster []string, stores []Store, retired map[string]bool, copies int) []string {
	cells, out := map[string]int{}, []string{}
	cellOf := map[string]string{}
	for _, s := range stores {
		cellOf[s.Name] = s.Cell
	}
	for _, name := range roster {
		if !retired[name] && len(out) < copies {
			out = append(out, name)
			cells[cellOf[name]]++
		}
	}
	for len(out) < copies {
		best, top := "", uint64(0)
		for _, s := range stores {
			if s.IsRetired || slices.Contains(out, s.Name) {
				continue
			}
			rank := duty.Rank(strconv.FormatInt(groupId, 10), s.Name)>>8 | uint64(255-min(cells[s.Cell], 255))<<56 // fewest in the cell first
			if best == "" || rank > top {
				best, top = s.Name, rank
			}
		}
		if best == "" {
			break
		}
		out = append(out, best)
		cells[cellOf[best]]++
	}
	for _, name := range roster {
		if retired[name] && len(out) < copies && len(out) < 2 {
			out = append(out, name)
		}
	}
	return out
}
