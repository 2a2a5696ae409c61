// Package host runs one replica of a group inside a store. The consensus code of package group and the
// replicated state machine run on one goroutine, connected by bounded queues to the disk and to the other
// stores. Package store holds a Host for each of its replicas; the simulation drives one without its
// goroutine.
package host

import (
	"context"
	"sync"
	"time"

	"caperwheel/internal/errs"
	"caperwheel/internal/group"
	"caperwheel/internal/repair"
	"caperwheel/internal/storage"
	"caperwheel/internal/timing"
	"caperwheel/internal/wire"
)

// Machine is the replicated state machine of a group. Only the host's goroutine uses it.
type Machine interface {
	// Apply applies a committed command and returns the result for its proposer. isOwn says that it was
	// proposed by this replica in its current ownership.
	Apply(data []byte, isOwn bool) any
	Snapshot() []byte
	Restore(image []byte) error
	OwnershipChanged(isOwner bool) // ownership began (everything committed is applied) or ended
	Tick(now time.Duration)
}

// Disk is what a host needs of the store's disk. The callbacks are called once the work is durable;
// AfterWrites writes nothing and waits only for the writes before it.
type Disk interface {
	Persist(id int64, p *group.DurableUpdate, then func(error))
	AfterWrites(then func(error))
	SaveSlot(id int64, hard group.HardState, image *group.Snapshot, entries *group.DurableUpdate, then func(error))
}

// Options configure a host.
type Options struct {
	Id              int64    // of the group
	Self            string   // member id of this replica
	Roster          []string // member ids of the founding replicas; empty for a replica that joins
	Bounds          timing.Bounds
	Seed            uint64 // of the replica's random generator
	Disk            Disk
	Held            *storage.StoredGroup // what the disk held at the start; nil for nothing
	Machine         Machine
	Now             func() time.Duration
	Send            func(wire.GroupMsg)          // sends a message to another replica
	PreferredOwner  func(roster []string) string // which member should own the group
	PlanRoster      RosterPlan                   // nil: the roster is not repaired
	HasCapacity     func(member string) bool     // whether the link to a member accepts more; nil means always
	QueueSize       int                          // maximum number of queued events
	CompactEntries  int                          // applied entries after which the state is written to the group's slot
	CompactBytes    int                          // bytes of entries after which it is, but at least the size of the snapshot
	MaxMessageBytes int                          // snapshot size in bytes up to which it is sent in one message
	OnFailure       func(error)                  // called when the disk or the machine fails
	// Schedule calls work on any goroutine after span; with nil, proposals are not batched.
	Schedule func(span time.Duration, work func())
	Level    int64 // the newest feature level that the machine can apply
}

// RosterPlan returns the member ids of the stores that are available, by name, and the names of those that
// should hold the group, given the time since the owner last heard from each holder.
type RosterPlan func(silence repair.Silence) (known map[string]string, wanted []string)

// Host is one running replica.
//
// Invariants: only the host's goroutine accesses the fields, except view, completions and the queue;
// pendingWrites counts writes that are not durable yet, and a message of Output.SendAfterSync is sent only after all
// writes before it; each waiter is called exactly once.
type Host struct {
	opts             Options
	machine          *group.Group
	queue            chan func()
	snapshot         *group.Snapshot
	pendingWrites    int
	appliedIndex     int64
	dataTerm         int64 // see DataTerm
	dataIndex        int64 // index of that command
	recovered        recoveredLog
	loggedAt         time.Duration // see LoggedAt
	entriesSinceSlot int           // entries applied since the last slot
	bytesSinceSlot   int           // bytes of those entries
	isSavingSlot     bool          // a slot is being written
	waiters          map[int64]waiter
	inFlight         []inFlightProposal // start times of the waiters' proposals, oldest first
	isOwner          bool
	ownedTerm        int64 // the term of the ownership, while isOwner
	lastRepair       time.Duration
	isRosterChanging bool // the roster has not reached its target yet
	snapshotParts    partBuffer

	batch      []proposal // not proposed yet, oldest first
	batchBytes int        // bytes of their commands

	mu          sync.Mutex
	view        group.View
	completions []func()
	wake        chan struct{}
}

// New returns a replica with the state that its disk held. Run starts it.
func New(opts Options) (*Host, error) {
	if opts.QueueSize == 0 {
		opts.QueueSize = 4096
	}
	if opts.MaxMessageBytes == 0 {
		opts.MaxMessageBytes = snapshotMessageBytesLimit
	}
	if opts.CompactEntries == 0 {
		opts.CompactEntries = 4000
	}
	if opts.CompactBytes == 0 {
		opts.CompactBytes = 1 << 20
	}
	h := &Host{opts: opts, queue: make(chan func(), opts.QueueSize), waiters: map[int64]waiter{}, wake: make(chan struct{}, 1)}
	held := opts.Held
	if held == nil {
		held = &storage.StoredGroup{}
	}
	if held.Snapshot != nil {
		if err := opts.Machine.Restore(held.Snapshot.State); err != nil {
			return nil, err
		}
		h.snapshot, h.dataTerm, h.dataIndex = held.Snapshot, held.Snapshot.Term, held.Snapshot.Index
	}
	h.machine = group.New(group.Options{Id: opts.Id, Self: opts.Self, Roster: opts.Roster, Bounds: opts.Bounds,
		Seed: opts.Seed, PreferredOwner: opts.PreferredOwner, HasRoom: opts.HasCapacity, SupportedLevel: opts.Level, RequiredLevel: requiredLevel(opts.Machine)}, held.Hard, held.Snapshot, held.Log, opts.Now())
	h.recovered = newRecoveredLog(held.Log, opts.Now())
	h.apply(h.machine.Committed())
	h.publish()
	h.opts.Held = nil // releases the memory: the machine has its own state now
	return h, nil
}

// Run processes events until ctx ends.
func (h *Host) Run(ctx context.Context) {
	// All groups of a store tick at the same moments, so that one wake-up serves them and their messages to
	// a store are sent in one batch.
	period := h.opts.Bounds.Of(timing.Tick)
	timing.Wait(ctx, period-h.opts.Now()%period)
	ticker := time.NewTicker(period)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case work := <-h.queue:
			work()
		case <-h.wake:
			h.runCompletions()
		case <-ticker.C:
			h.Tick()
		}
	}
}

// runCompletions runs the callbacks of finished disk writes and reports whether there were any.
func (h *Host) runCompletions() bool {
	h.mu.Lock()
	completions := h.completions
	h.completions = nil
	h.mu.Unlock()
	for _, work := range completions {
		work()
	}
	return len(completions) > 0
}

// Tick advances the replica's timers. Run calls it, or the simulation in place of Run.
func (h *Host) Tick() {
	h.execute(h.machine.Tick(h.opts.Now()))
	h.runPeriodic()
}

// Do runs work on the host's goroutine. If the queue is full, it returns an error and work will not run.
func (h *Host) Do(work func()) error {
	select {
	case h.queue <- work:
		return nil
	default:
		return errs.New(errs.Full, "queue of group %d is full: %d events wait", h.opts.Id, cap(h.queue))
	}
}

// Receive processes a message from another store; if the queue is full, the message is dropped.
func (h *Host) Receive(m wire.GroupMsg) {
	_ = h.Do(func() {
		if m.Kind == group.MsgSnapshotChunk {
			snapshot, isComplete := h.snapshotParts.add(m)
			if !isComplete {
				return
			}
			m = snapshot
		}
		h.execute(h.machine.Receive(m, h.opts.Now()))
	})
}

// IsOwner reports whether this replica owns the group. It must be called on the host's goroutine.
func (h *Host) IsOwner() bool { return h.isOwner }

// Term returns the group's term. It must be called on the host's goroutine.
func (h *Host) Term() int64 { return h.machine.View().Term }

// View returns a recent state of the replica. Any goroutine may call it.
func (h *Host) View() group.View {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.view
}

// execute carries out the output of one step of the group: messages, writes, a received snapshot, committed
// entries.
func (h *Host) execute(out group.Output) {
	for _, m := range out.SendNow {
		h.send(m)
	}
	if p := out.Persist; p != nil {
		h.pendingWrites++
		h.opts.Disk.Persist(h.opts.Id, p, h.onPersisted(func() {
			h.sendAll(out.SendAfterSync)
			if n := len(p.Entries); n > 0 {
				h.execute(h.machine.Synced(p.Entries[n-1].Index, p.Entries[n-1].Term, h.opts.Now()))
			}
		}))
	} else if len(out.SendAfterSync) > 0 {
		if h.pendingWrites == 0 {
			h.sendAll(out.SendAfterSync)
		} else {
			h.pendingWrites++
			h.opts.Disk.AfterWrites(h.onPersisted(func() { h.sendAll(out.SendAfterSync) }))
		}
	}
	if out.Install != nil {
		if err := h.opts.Machine.Restore(out.Install.State); err != nil {
			h.opts.OnFailure(err)
			return
		}
		h.snapshot, h.appliedIndex = out.Install, out.Install.Index
		h.dataTerm, h.dataIndex = out.Install.Term, out.Install.Index
	}
	h.apply(out.Apply)
	h.updateOwnership()
	h.publish()
}
