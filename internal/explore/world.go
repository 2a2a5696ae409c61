// Package explore is a model checker over the real code of internal/group. A
// world holds the replicas of one group, their disks and all messages under
// way; every event that may come next is tried, from each state that can be
// reached, and the invariants are looked at in each. Nothing here stands in
// for the group's own rules: its state machine runs as it is.
package explore

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"caperwheel/internal/group"
	"caperwheel/internal/timing"
	"caperwheel/internal/wire"
)

// disk is what a replica would find after a loss of power.
type disk struct {
	hard  group.HardState
	image *group.Snapshot
	log   []wire.Entry
}

// write is one write that is not synced yet, and what may leave once it is.
type write struct {
	persist *group.DurableUpdate
	slot    *disk // a whole state in the place of a log record
	after   []wire.GroupMsg
}

// mark tells how much was committed at a time of a replica's clock.
type mark struct {
	at     time.Duration
	chosen int
}

// replica is one member with its disk and its own clock. Invariant: replicas
// are shared between worlds, so one that changes is copied first.
type replica struct {
	name     string // the machine's name
	id       string // with its disk's incarnation
	life     int    // counts starts of the process
	machine  *group.Group
	now      time.Duration
	disk     disk
	unsynced []write
	image    *group.Snapshot // the newest that the host holds
	applied  int64
	isOwner  bool   // as the host tells the machine above it
	pulsed   int64  // an owner's commit when its last round began
	marks    []mark // of an owner, from its newest confirmation on
	stands   []byte // kept for the digest
}

// World is one state of the search.
type World struct {
	options  *Options
	replicas []*replica
	sent     []*wire.GroupMsg // under way, never changed; a message that is never delivered is lost
	ghost    *ghost
	spent    [kinds]int
	down     string // a machine that is off from now on
	broken   string // the first invariant found broken
}

// names of the machines, in the order in which they are used.
var names = []string{"a", "b", "c", "d", "e", "f"}

// MostMembers found a group at most; two names are left for spares.
const MostMembers = 4

// idOf names a machine's replica with a given disk.
func idOf(name string, disk int) string { return fmt.Sprintf("%s/%d", name, disk) }

// NewWorld founds a group.
func NewWorld(o *Options) *World {
	w := &World{options: o, ghost: &ghost{owners: map[int64]string{}, gone: map[string]disk{}}}
	for i := range o.Members + o.Spares {
		r := &replica{name: names[i], id: idOf(names[i], 0)}
		w.replicas = append(w.replicas, r)
	}
	w.ghost.roster = w.founders()
	for i := range w.replicas {
		w.start(w.replicas[i])
	}
	return w
}

func (w *World) founders() []string {
	out := []string{}
	for i := range w.options.Members {
		out = append(out, idOf(names[i], 0))
	}
	return out
}

// start brings a replica's process up from its disk.
func (w *World) start(r *replica) {
	roster := []string(nil)
	if slices.Contains(w.founders(), r.id) {
		roster = w.founders()
	}
	r.life++
	r.machine = group.New(group.Options{Id: 1, Self: r.id, Roster: roster, Bounds: timing.Default, Seed: 1},
		r.disk.hard, r.disk.image, slices.Clone(r.disk.log), r.now)
	r.image, r.applied, r.isOwner, r.marks = r.disk.image, 0, false, nil
	if r.image != nil {
		w.install(r, r.image)
	}
	w.apply(r, r.machine.Committed())
}

// clone gives a world that may change; it shares what does not.
func (w *World) clone() *World {
	c := *w
	c.replicas = slices.Clone(w.replicas)
	c.sent = slices.Clone(w.sent)
	own := *w.ghost
	own.chosen = slices.Clip(own.chosen)
	own.owners = maps.Clone(own.owners)
	own.gone = maps.Clone(own.gone)
	c.ghost = &own
	return &c
}

// own gives a replica of this world that may change.
func (w *World) own(at int) *replica {
	r := *w.replicas[at]
	r.machine = r.machine.Clone()
	r.unsynced = slices.Clone(r.unsynced)
	r.stands = nil
	r.now++ // no two events of a replica have the same time
	w.replicas[at] = &r
	return &r
}

// at finds the replica that answers at a member's address.
func (w *World) at(member string) int {
	for i, r := range w.replicas {
		if r.name == group.Name(member) {
			return i
		}
	}
	return -1
}
