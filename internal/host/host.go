// Package host runs one replica of a group inside a store: the pure group and
// the state machine above it on one goroutine, joined by bounded rings to the
// disk and to the other stores.
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

// Machine is the replicated state above a group. It is used by the host's
// goroutine alone.
type Machine interface {
	// Apply takes a committed command in and returns the verdict for whoever proposed it.
	// isOwn tells that it was proposed here, in the ownership that still stands.
	Apply(data []byte, isOwn bool) any
	Snapshot() []byte
	Restore(image []byte) error
	OwnershipChanged(isOwner bool) // ownership has begun (all that was committed is applied) or ended
	Tick(now time.Duration)
}

// Disk is what a host needs of the store's disk.
type Disk interface {
	Persist(id int64, p *group.DurableUpdate, then func(error))
	AfterWrites(then func(error))
	SaveSlot(id int64, hard group.HardState, image *group.Snapshot, entries *group.DurableUpdate, then func(error))
}

// Options of a host.
type Options struct {
	Id              int64
	Self            string
	Roster          []string
	Bounds          timing.Bounds
	Seed            uint64
	Disk            Disk
	Held            *storage.StoredGroup
	Machine         Machine
	Now             func() time.Duration
	Send            func(wire.GroupMsg)
	PreferredOwner  func(roster []string) string
	PlanRoster      RosterPlan
	HasCapacity     func(member string) bool // whether the link to a member takes more; none given: always
	QueueSize       int                      // events that may wait
	CompactEntries  int                      // applied entries after which the group is put into its slot
	CompactBytes    int                      // or bytes of them, at least as many as the image has
	MaxMessageBytes int                      // bytes of an image up to which it travels in one message
	OnFailure       func(error)
	// Later does work, on any goroutine, once a time has passed; none given: proposals
	// are not gathered.
	Schedule func(span time.Duration, work func())
	Level    int64 // the newest feature level that the machine can apply
}

// RosterPlan tells the member ids of the stores that are here, by name, and the names of
// those that should hold the group, given what the owner has heard of its holders.
type RosterPlan func(silence repair.Silence) (known map[string]string, wanted []string)

// Host is one running replica.
//
// Invariants: all but view, synced and the ring is touched by the goroutine
// alone; pending counts persists that are not synced yet, and an After message
// leaves only behind all persists before it; each waiter is told exactly once.
type Host struct {
	opts             Options
	machine          *group.Group
	queue            chan func()
	snapshot         *group.Snapshot
	pendingWrites    int
	appliedIndex     int64
	dataTerm         int64 // see DataTerm
	dataIndex        int64 // of that command
	recovered        recoveredLog
	loggedAt         time.Duration // see LoggedAt
	entriesSinceSlot int           // entries applied since the last slot
	bytes            int           // and their bytes
	isSavingSlot     bool          // a slot is being written
	waiters          map[int64]waiter
	inFlight         []inFlightProposal // when the waiters' proposals were made, oldest first
	isOwner          bool
	ownedTerm        int64 // the term of the ownership, while isOwner
	lastRepair       time.Duration
	isRosterChanging bool // the roster is not yet what it should be
	snapshotParts    partBuffer

	batch      []proposal // not proposed yet, oldest first
	batchBytes int        // and the bytes of their commands

	mu          sync.Mutex
	view        group.View
	completions []func()
	wake        chan struct{}
}

// New readies a replica from what its disk held.
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
	h.opts.Held = nil // the machine has its own state now
	return h, nil
}

// Run works until ctx ends.
func (h *Host) Run(ctx context.Context) {
	// All groups of a store tick at the same moments, so that one waking serves
	// them and what they say to a store leaves in one batch.
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

// Tick lets time pass. Run calls it; the simulation does, in Run's place.
func (h *Host) Tick() {
	h.execute(h.machine.Tick(h.opts.Now()))
	h.runPeriodic()
}

// Do has work done on the host's goroutine; a full ring is a definite reject.
func (h *Host) Do(work func()) error {
	select {
	case h.queue <- work:
		return nil
	default:
		return errs.New(errs.Full, "group %d has %d events waiting", h.opts.Id, cap(h.queue))
	}
}

// Receive takes a message from another store; a full ring loses it.
func (h *Host) Receive(m wire.GroupMsg) {
	_ = h.Do(func() {
		if m.Kind == group.MsgSnapshotChunk {
			image, isWhole := h.snapshotParts.add(m)
			if !isWhole {
				return
			}
			m = image
		}
		h.execute(h.machine.Receive(m, h.opts.Now()))
	})
}

// IsOwner tells it, and Term the group's term, on the host's goroutine.
func (h *Host) IsOwner() bool { return h.isOwner }
func (h *Host) Term() int64   { return h.machine.View().Term }

// View of the replica, for any goroutine.
func (h *Host) View() group.View {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.view
}

// execute carries out what one step of the group wants.
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
