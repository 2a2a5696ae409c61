package host

import (
	"runtime"
	"testing"
	"time"
	"weak"

	. "github.com/smartystreets/goconvey/convey"

	"caperwheel/internal/group"
	"caperwheel/internal/storage"
	"caperwheel/internal/timing"
	"caperwheel/internal/wire"
)

// TestHeldIsLetGo guards against a replica that keeps what its disk held at the start in memory for as long
// as it runs, in addition to its state.
func TestHeldIsLetGo(t *testing.T) {
	Convey("A started replica keeps no reference to what its disk held", t, func() {
		held := &storage.StoredGroup{Hard: group.HardState{Term: 1}, Log: []wire.Entry{{Index: 1, Term: 1}}}
		kept := weak.Make(held)
		h, err := New(Options{Id: 1, Self: "a/0", Roster: []string{"a/0"}, Bounds: timing.Default, Held: held,
			Machine: &idleMachine{}, Now: func() time.Duration { return 0 }})
		So(err, ShouldBeNil)
		held = nil
		runtime.GC()
		So(kept.Value(), ShouldBeNil)
		runtime.KeepAlive(h)
	})
}

// TestReplayed guards against a replica that dates a command by when it was applied: after a restart this
// waits for an election, although the log had the command at the start.
func TestReplayed(t *testing.T) {
	Convey("Of a log with three entries at the start of a replica at 5 s", t, func() {
		const startedAt, now = 5 * time.Second, 9 * time.Second
		log := newRecoveredLog([]wire.Entry{{Index: 7, Term: 2}, {Index: 8, Term: 2}, {Index: 9, Term: 3}}, startedAt)
		Convey("each was in the log then", func() {
			So(log.loggedAt(wire.Entry{Index: 7, Term: 2}, now), ShouldEqual, startedAt)
			So(log.loggedAt(wire.Entry{Index: 9, Term: 3}, now), ShouldEqual, startedAt)
		})
		Convey("one that has replaced another was not", func() {
			So(log.loggedAt(wire.Entry{Index: 8, Term: 4}, now), ShouldEqual, now)
		})
		Convey("nor were later or earlier entries", func() {
			So(log.loggedAt(wire.Entry{Index: 6, Term: 2}, now), ShouldEqual, now)
			So(log.loggedAt(wire.Entry{Index: 10, Term: 3}, now), ShouldEqual, now)
			So(log.terms, ShouldBeEmpty)
		})
	})
	Convey("Without a log, no entry was there", t, func() {
		log := newRecoveredLog(nil, 0)
		So(log.loggedAt(wire.Entry{Index: 1, Term: 1}, time.Second), ShouldEqual, time.Second)
	})
}

// memoryDisk records in held what a replica's disk holds.
type memoryDisk struct {
	syncDisk
	held *storage.StoredGroup
}

func (d memoryDisk) Persist(_ int64, p *group.DurableUpdate, then func(error)) {
	if p.Hard != nil {
		d.held.Hard = *p.Hard
	}
	d.held.Log = append(d.held.Log, p.Entries...)
	then(nil)
}

func (d memoryDisk) SaveSlot(_ int64, hard group.HardState, image *group.Snapshot, p *group.DurableUpdate, then func(error)) {
	*d.held = storage.StoredGroup{Hard: hard, Snapshot: image, Log: p.Entries}
	then(nil)
}

// startOwner starts a replica on the disk and runs it until it owns its group of one.
func (d memoryDisk) startOwner() *Host {
	now := time.Duration(0)
	held := *d.held
	h, err := New(Options{Id: 1, Self: "a/0", Roster: []string{"a/0"}, Bounds: timing.Default, Disk: d, Held: &held,
		Machine: idleMachine{}, Now: func() time.Duration { return now }, Send: func(wire.GroupMsg) {}})
	So(err, ShouldBeNil)
	for range 100 {
		now += timing.Default.Of(timing.Tick)
		h.Tick()
		h.RunPending()
	}
	So(h.IsOwner(), ShouldBeTrue)
	return h
}

// TestImageTerm guards against a snapshot, made between an election and the owner's first command, that has
// the election's term as that of its newest command: readings of the group's time from the earlier
// ownership were then ignored, and the time that passed during a loss of all stores was lost.
func TestImageTerm(t *testing.T) {
	Convey("Given a command of one ownership and the election of the next", t, func() {
		disk := memoryDisk{held: &storage.StoredGroup{}}
		first := disk.startOwner()
		first.Propose([]byte("command"), func(any, error) {})
		first.Tick()
		first.RunPending()
		commandTerm := first.DataTerm()
		So(commandTerm, ShouldEqual, first.Term())
		second := disk.startOwner()
		So(second.Term(), ShouldBeGreaterThan, commandTerm)
		So(second.DataTerm(), ShouldEqual, commandTerm)
		Convey("a replica that starts from a snapshot made then has the command's term", func() {
			second.Compact()
			second.RunPending()
			So(disk.held.Snapshot, ShouldNotBeNil)
			third := disk.startOwner()
			So(third.DataTerm(), ShouldEqual, commandTerm)
		})
	})
}
