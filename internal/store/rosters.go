package store

import (
	"slices"
	"sync"
	"time"

	"caperwheel/internal/group"
	"caperwheel/internal/repair"
	"caperwheel/internal/timing"
	"caperwheel/internal/wire"
)

// RosterPlanner plans which stores should hold the groups that one store owns. It does
// no I/O; the simulation uses it as it is. Safe for use by several goroutines.
type RosterPlanner struct {
	replicas int

	mu        sync.Mutex
	planner   *repair.Planner
	memberIds map[string]string // member ids of the stores that are here, by name
	retired   map[string]bool
}

// NewRosterPlanner makes one for groups of so many copies.
func NewRosterPlanner(bounds timing.Bounds, copies int) *RosterPlanner {
	return &RosterPlanner{replicas: copies, planner: repair.NewPlanner(bounds, copies), memberIds: map[string]string{}, retired: map[string]bool{}}
}

// NoteMembers takes in which stores are members now, and which are retired; only while
// both are known well enough.
func (r *RosterPlanner) NoteMembers(here []wire.Who, retired map[string]bool, now time.Duration) {
	known, members := map[string]string{}, []repair.Store{}
	for _, who := range here {
		known[who.Name] = who.Name + "/" + repair.Incarnation(who.Boot)
		members = append(members, repair.Store{Name: who.Name, Zone: who.Zone, IsRetired: retired[who.Name]})
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.memberIds, r.retired = known, retired
	r.planner.UpdateMembers(members, now)
}

// Plan returns the member ids of the stores that are here and the names of those
// that should hold a group of these members. changing is how many of the owner's
// groups are being changed; silence is the group owner's, of each holder.
func (r *RosterPlanner) Plan(groupId int64, members []string, changing int, silence repair.Silence, now time.Duration) (known map[string]string, wanted []string) {
	g := repair.Group{Id: groupId, Holders: storeNames(members), IsChanging: IsChanging(members, r.replicas), Silence: silence}
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.memberIds, r.planner.HoldersFor(g, r.retired, changing, now)
}

// IsChanging tells a roster whose change is not finished.
func IsChanging(members []string, copies int) bool {
	return len(members) > copies || slices.ContainsFunc(members, group.IsLearner)
}

// storeNames gives the stores of a roster, each once.
func storeNames(members []string) []string {
	out := []string{}
	for _, m := range members {
		if name := group.Name(m); !slices.Contains(out, name) {
			out = append(out, name)
		}
	}
	return out
}
