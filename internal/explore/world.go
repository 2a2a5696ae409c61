// Package explore is a model checker for the consensus code of internal/group. A World is one state: the replicas of a
// group, their disks, and all messages in flight. From each reachable state, Search tries every event that may happen
// next and checks the invariants in every new state; Walk takes random walks. The state machine of internal/group runs
// unchanged; only the network, the disks, the clocks and the host around it are modelled.
//
// `fleet check` and the tests of this package call it.
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

// disk is the durable state of a replica: what it would find after a power failure.
type disk struct {
	hardState group.HardState
	snapshot  *group.Snapshot
	log       []wire.Entry
}

// write is one write that is not synced yet, and the messages that may be sent only after it is.
type write struct {
	persist   *group.DurableUpdate // a log record; nil if there is none
	fullState *disk                // a complete state written instead of a log record; nil if there is none
	sendAfter []wire.GroupMsg
}

// commitMark is the number of entries that were committed at a time of a replica's clock.
type commitMark struct {
	at        time.Duration
	committed int
}

// replica is one member of the group with its disk and its own clock.
//
// Invariant: replicas are shared between worlds and never changed in place; see ownReplica.
type replica struct {
	name            string // the machine's name
	id              string // member id: the name with the incarnation of the disk
	startCount      int    // starts of the process so far
	stateMachine    *group.Group
	now             time.Duration   // its clock
	disk            disk            // synced content
	unsynced        []write         // oldest first
	snapshot        *group.Snapshot // the newest snapshot that the host holds
	applied         int64           // index of the last applied entry
	isOwner         bool            // as the host reports it to the replicated state machine
	heartbeatCommit int64           // commit index of an owner when its last heartbeat round began
	commitMarks     []commitMark    // of an owner, since its newest confirmation
	cachedSignature []byte          // cache of signature; nil if not computed
}

// World is one state of a group and its environment. It is immutable: Next returns a new one.
type World struct {
	options        *Options
	replicas       []*replica
	inFlight       []*wire.GroupMsg // never changed in place; a message that is never delivered is lost
	ghost          *ghost
	eventCounts    [kindCount]int
	stoppedMachine string // a machine that is off from now on; empty for none
	firstBreach    string // the first breach found; empty for none
}

// names of the machines: first those of the founding members, then the spares.
var names = []string{"a", "b", "c", "d", "e", "f"}

// MaxMembers is the largest number of founding members; it leaves two names for spares.
const MaxMembers = 4

// idOf returns the member id of a machine with its disk-th disk.
func idOf(name string, disk int) string { return fmt.Sprintf("%s/%d", name, disk) }

// NewWorld returns the state of a new group in which all processes have started.
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

// founders returns the ids of the founding members.
func (w *World) founders() []string {
	out := []string{}
	for i := range w.options.Members {
		out = append(out, idOf(names[i], 0))
	}
	return out
}

// start starts the process of a replica from its disk.
func (w *World) start(r *replica) {
	founders := []string(nil)
	if slices.Contains(w.founders(), r.id) {
		founders = w.founders()
	}
	r.startCount++
	r.stateMachine = group.New(group.Options{Id: 1, Self: r.id, Roster: founders, Bounds: timing.Default, Seed: 1},
		r.disk.hardState, r.disk.snapshot, slices.Clone(r.disk.log), r.now)
	r.snapshot, r.applied, r.isOwner, r.commitMarks = r.disk.snapshot, 0, false, nil
	if r.snapshot != nil {
		w.install(r, r.snapshot)
	}
	w.apply(r, r.stateMachine.Committed())
}

// clone returns a copy that may be changed. It shares replicas and messages with w; see ownReplica.
func (w *World) clone() *World {
	c := *w
	c.replicas = slices.Clone(w.replicas)
	c.inFlight = slices.Clone(w.inFlight)
	ghostCopy := *w.ghost
	ghostCopy.committed = slices.Clip(ghostCopy.committed)
	ghostCopy.termOwners = maps.Clone(ghostCopy.termOwners)
	ghostCopy.replacedDisks = maps.Clone(ghostCopy.replacedDisks)
	c.ghost = &ghostCopy
	return &c
}

// ownReplica replaces a replica of this world by a copy that may be changed, and returns it.
func (w *World) ownReplica(at int) *replica {
	r := *w.replicas[at]
	r.stateMachine = r.stateMachine.Clone()
	r.unsynced = slices.Clone(r.unsynced)
	r.cachedSignature = nil
	r.now++ // so that no two events of a replica have the same time
	w.replicas[at] = &r
	return &r
}

// replicaIndex returns the index of the replica on a member's machine; -1 if there is none. The replica may have
// another id, if the disk was replaced.
func (w *World) replicaIndex(member string) int {
	for i, r := range w.replicas {
		if r.name == group.Name(member) {
			return i
		}
	}
	return -1
}
