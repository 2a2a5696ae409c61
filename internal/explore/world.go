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
	hardState group.HardState
	snapshot  *group.Snapshot
	log       []wire.Entry
}

// write is one write that is not synced yet, and what may leave once it is.
type write struct {
	persist   *group.DurableUpdate
	fullState *disk // a whole state in the place of a log record
	sendAfter []wire.GroupMsg
}

// commitMark tells how much was committed at a time of a replica's clock.
type commitMark struct {
	at        time.Duration
	committed int
}

// replica is one member with its disk and its own clock. Invariant: replicas
// are shared between worlds, so one that changes is copied first.
type replica struct {
	name            string // the machine's name
	id              string // with its disk's incarnation
	startCount      int    // counts starts of the process
	machine         *group.Group
	now             time.Duration
	disk            disk
	unsynced        []write
	snapshot        *group.Snapshot // the newest that the host holds
	applied         int64
	isOwner         bool         // as the host tells the machine above it
	heartbeatCommit int64        // an owner's commit when its last round began
	commitMarks     []commitMark // of an owner, from its newest confirmation on
	cachedSignature []byte       // kept for the digest
}

// World is one state of the search.
type World struct {
	options        *Options
	replicas       []*replica
	inFlight       []*wire.GroupMsg // under way, never changed; a message that is never delivered is lost
	ghost          *ghost
	eventCounts    [kindCount]int
	stoppedMachine string // a machine that is off from now on
	firstBreach    string // the first invariant found broken
}

// names of the machines, in the order in which they are used.
var names = []string{"a", "b", "c", "d", "e", "f"}

// MaxMembers found a group at most; two names are left for spares.
const MaxMembers = 4

// idOf names a machine's replica with a given disk.
func idOf(name string, disk int) string { return fmt.Sprintf("%s/%d", name, disk) }

// NewWorld founds a group.
func NewWorld(o *Options) *World {
	w := &World{options: o, ghost: &ghost{termOwners: map[int64]string{}, replacedDisks: map[string]disk{}}}
	for i := range o.Members + o.SpareMachines {
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
	r.startCount++
	r.machine = group.New(group.Options{Id: 1, Self: r.id, Roster: roster, Bounds: timing.Default, Seed: 1},
		r.disk.hardState, r.disk.snapshot, slices.Clone(r.disk.log), r.now)
	r.snapshot, r.applied, r.isOwner, r.commitMarks = r.disk.snapshot, 0, false, nil
	if r.snapshot != nil {
		w.install(r, r.snapshot)
	}
	w.apply(r, r.machine.Committed())
}

// clone gives a world that may change; it shares what does not.
func (w *World) clone() *World {
	c := *w
	c.replicas = slices.Clone(w.replicas)
	c.inFlight = slices.Clone(w.inFlight)
	own := *w.ghost
	own.committed = slices.Clip(own.committed)
	own.termOwners = maps.Clone(own.termOwners)
	own.replacedDisks = maps.Clone(own.replacedDisks)
	c.ghost = &own
	return &c
}

// ownReplica gives a replica of this world that may change.
func (w *World) ownReplica(at int) *replica {
	r := *w.replicas[at]
	r.machine = r.machine.Clone()
	r.unsynced = slices.Clone(r.unsynced)
	r.cachedSignature = nil
	r.now++ // no two events of a replica have the same time
	w.replicas[at] = &r
	return &r
}

// replicaIndex finds the replica that answers at a member's address.
func (w *World) replicaIndex(member string) int {
	for i, r := range w.replicas {
		if r.name == group.Name(member) {
			return i
		}
	}
	return -1
}
