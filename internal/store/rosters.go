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

// RosterPlanner plans which stores should hold the groups that one store owns. It does no I/O, and the simulation uses
// it unchanged. It is safe for use by several goroutines.
type RosterPlanner struct {
	replicas int

	mu        sync.Mutex
	planner   *repair.Planner
	memberIds map[string]string // member ids of the current stores by name
	retired   map[string]bool
}

// NewRosterPlanner returns a planner for groups of this many replicas.
func NewRosterPlanner(bounds timing.Bounds, replicas int) *RosterPlanner {
	return &RosterPlanner{replicas: replicas, planner: repair.NewPlanner(bounds, replicas), memberIds: map[string]string{}, retired: map[string]bool{}}
}

// NoteMembers sets the current member stores and the retired stores. It must be called only with a fresh view.
func (r *RosterPlanner) NoteMembers(stores []wire.Who, retired map[string]bool, now time.Duration) {
	memberIds, members := map[string]string{}, []repair.Store{}
	for _, who := range stores {
		memberIds[who.Name] = who.Name + "/" + repair.Incarnation(who.Boot)
		members = append(members, repair.Store{Name: who.Name, Zone: who.Zone, IsRetired: retired[who.Name]})
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.memberIds, r.retired = memberIds, retired
	r.planner.UpdateMembers(members, now)
}

// Plan returns the member ids of the current stores, and the names of the stores that should hold a group with these
// members. changing is the number of the owner's groups whose rosters are being changed; silence is how long the
// group's owner has not heard from each holder.
func (r *RosterPlanner) Plan(groupId int64, members []string, changing int, silence repair.Silence, now time.Duration) (known map[string]string, wanted []string) {
	g := repair.Group{Id: groupId, Holders: storeNames(members), IsChanging: IsChanging(members, r.replicas), Silence: silence}
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.memberIds, r.planner.HoldersFor(g, r.retired, changing, now)
}

// IsChanging reports whether a roster change is not finished.
func IsChanging(members []string, replicas int) bool {
	return len(members) > replicas || slices.ContainsFunc(members, group.IsLearner)
}

// storeNames returns the names of a roster's stores without repeats.
func storeNames(members []string) []string {
	out := []string{}
	for _, m := range members {
		if name := group.Name(m); !slices.Contains(out, name) {
			out = append(out, name)
		}
	}
	return out
}
