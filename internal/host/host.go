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
	"caperwheel/internal/slot"
	"caperwheel/internal/timing"
	"caperwheel/internal/wire"
)

// Machine is the replicated state above a group. It is used by the host's
// goroutine alone.
type Machine interface {
	// Apply takes a committed command in and returns the verdict for whoever proposed it.
	// isOwn tells that it was proposed here, in the ownership that still stands.
	Apply(data []byte, isOwn bool) any
	Image() []byte
	Restore(image []byte) error
	Owned(isOwner bool) // ownership has begun (all that was committed is applied) or ended
	Tick(now time.Duration)
}

// Disk is what a host needs of the store's disk.
type Disk interface {
	Persist(id int64, p *group.Persist, then func(error))
	After(then func(error))
	SaveSlot(id int64, hard group.HardState, image *group.Image, entries *group.Persist, then func(error))
}

// Options of a host.
type Options struct {
	Id      int64
	Self    string
	Roster  []string
	Bounds  timing.Bounds
	Seed    uint64
	Disk    Disk
	Held    *slot.Held
	Machine Machine
	Now     func() time.Duration
	Send    func(wire.GroupMsg)
	Prefer  func(roster []string) string
	Repair  Plan
	Room    func(member string) bool // whether the link to a member takes more; none given: always
	Ring    int                      // events that may wait
	Compact int                      // applied entries after which the group is put into its slot
	Bytes   int                      // or bytes of them, at least as many as the image has
	Whole   int                      // bytes of an image up to which it travels in one message
	Failed  func(error)
	// Later does work, on any goroutine, once a time has passed; none given: proposals
	// are not gathered.
	Later func(span time.Duration, work func())
	Level int64 // the newest feature level that the machine can apply
}

// Plan tells the member ids of the stores that are here, by name, and the names of
// those that should hold the group, given what the owner has heard of its holders.
type Plan func(silence repair.Silence) (known map[string]string, wanted []string)

// Host is one running replica.
//
// Invariants: all but view, synced and the ring is touched by the goroutine
// alone; pending counts persists that are not synced yet, and an After message
// leaves only behind all persists before it; each waiter is told exactly once.
type Host struct {
	opts       Options
	machine    *group.Group
	ring       chan func()
	image      *group.Image
	pending    int
	applied    int64
	dataTerm   int64 // see DataTerm
	dataIndex  int64 // of that command
	replayed   replayed
	heldAt     time.Duration // see HeldAt
	since      int           // entries applied since the last slot
	bytes      int           // and their bytes
	saving     bool          // a slot is being written
	waiters    map[int64]waiter
	begun      []begun // when the waiters' proposals were made, oldest first
	isOwner    bool
	ownedTerm  int64 // the term of the ownership, while isOwner
	repaired   time.Duration
	isChanging bool // the roster is not yet what it should be
	parts      parts

	gathered      []proposal // not proposed yet, oldest first
	gatheredBytes int        // and the bytes of their commands

	mu     sync.Mutex
	view   group.View
	synced []func()
	wake   chan struct{}
}

// New readies a replica from what its disk held.
func New(opts Options) (*Host, error) {
	if opts.Ring == 0 {
		opts.Ring = 4096
	}
	if opts.Whole == 0 {
		opts.Whole = wholeImage
	}
	if opts.Compact == 0 {
		opts.Compact = 4000
	}
	if opts.Bytes == 0 {
		opts.Bytes = 1 << 20
	}
	h := &Host{opts: opts, ring: make(chan func(), opts.Ring), waiters: map[int64]waiter{}, wake: make(chan struct{}, 1)}
	held := opts.Held
	if held == nil {
		held = &slot.Held{}
	}
	if held.Image != nil {
		if err := opts.Machine.Restore(held.Image.State); err != nil {
			return nil, err
		}
		h.image, h.dataTerm, h.dataIndex = held.Image, held.Image.Term, held.Image.Index
	}
	h.machine = group.New(group.Options{Id: opts.Id, Self: opts.Self, Roster: opts.Roster, Bounds: opts.Bounds,
		Seed: opts.Seed, Prefer: opts.Prefer, Room: opts.Room, Level: opts.Level, Needed: neededBy(opts.Machine)}, held.Hard, held.Image, held.Log, opts.Now())
	h.replayed = newReplayed(held.Log, opts.Now())
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
		case work := <-h.ring:
			work()
		case <-h.wake:
			h.takeSynced()
		case <-ticker.C:
			h.Tick()
		}
	}
}

func (h *Host) takeSynced() bool {
	h.mu.Lock()
	synced := h.synced
	h.synced = nil
	h.mu.Unlock()
	for _, work := range synced {
		work()
	}
	return len(synced) > 0
}

// Tick lets time pass. Run calls it; the simulation does, in Run's place.
func (h *Host) Tick() {
	h.do(h.machine.Tick(h.opts.Now()))
	h.tick()
}

// Do has work done on the host's goroutine; a full ring is a definite reject.
func (h *Host) Do(work func()) error {
	select {
	case h.ring <- work:
		return nil
	default:
		return errs.New(errs.Full, "group %d has %d events waiting", h.opts.Id, cap(h.ring))
	}
}

// Receive takes a message from another store; a full ring loses it.
func (h *Host) Receive(m wire.GroupMsg) {
	_ = h.Do(func() {
		if m.Kind == group.MsgPart {
			image, isWhole := h.parts.take(m)
			if !isWhole {
				return
			}
			m = image
		}
		h.do(h.machine.Receive(m, h.opts.Now()))
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

// do carries out what one step of the group wants.
func (h *Host) do(out group.Out) {
	for _, m := range out.Now {
		h.send(m)
	}
	if p := out.Persist; p != nil {
		h.pending++
		h.opts.Disk.Persist(h.opts.Id, p, h.onSynced(func() {
			h.sendAll(out.After)
			if n := len(p.Entries); n > 0 {
				h.do(h.machine.Synced(p.Entries[n-1].Index, p.Entries[n-1].Term, h.opts.Now()))
			}
		}))
	} else if len(out.After) > 0 {
		if h.pending == 0 {
			h.sendAll(out.After)
		} else {
			h.pending++
			h.opts.Disk.After(h.onSynced(func() { h.sendAll(out.After) }))
		}
	}
	if out.Install != nil {
		if err := h.opts.Machine.Restore(out.Install.State); err != nil {
			h.opts.Failed(err)
			return
		}
		h.image, h.applied = out.Install, out.Install.Index
		h.dataTerm, h.dataIndex = out.Install.Term, out.Install.Index
	}
	h.apply(out.Apply)
	h.settle()
	h.publish()
}
