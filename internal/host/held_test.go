package host

import (
	"runtime"
	"testing"
	"time"
	"weak"

	. "github.com/smartystreets/goconvey/convey"

	"caperwheel/internal/group"
	"caperwheel/internal/slot"
	"caperwheel/internal/timing"
	"caperwheel/internal/wire"
)

// TestHeldIsLetGo: a replica once kept all that its disk held at the start for as long
// as it ran, beside its state.
func TestHeldIsLetGo(t *testing.T) {
	Convey("A replica that has read what its disk held keeps none of it besides", t, func() {
		held := &slot.Held{Hard: group.HardState{Term: 1}, Log: []wire.Entry{{Index: 1, Term: 1}}}
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

// TestReplayed: a replica once counted the group's time from when a command was applied, which after a restart waits for an
// election, though its log had the command as it began.
func TestReplayed(t *testing.T) {
	Convey("Of a log with three entries that a replica began with at 5 s", t, func() {
		const began, now = 5 * time.Second, 9 * time.Second
		log := newReplayed([]wire.Entry{{Index: 7, Term: 2}, {Index: 8, Term: 2}, {Index: 9, Term: 3}}, began)
		Convey("each was there then", func() {
			So(log.heldAt(wire.Entry{Index: 7, Term: 2}, now), ShouldEqual, began)
			So(log.heldAt(wire.Entry{Index: 9, Term: 3}, now), ShouldEqual, began)
		})
		Convey("one that has taken the place of another was not", func() {
			So(log.heldAt(wire.Entry{Index: 8, Term: 4}, now), ShouldEqual, now)
		})
		Convey("nor were those that came later, or are before it", func() {
			So(log.heldAt(wire.Entry{Index: 6, Term: 2}, now), ShouldEqual, now)
			So(log.heldAt(wire.Entry{Index: 10, Term: 3}, now), ShouldEqual, now)
			So(log.terms, ShouldBeEmpty)
		})
	})
	Convey("Without a log, none was there", t, func() {
		log := newReplayed(nil, 0)
		So(log.heldAt(wire.Entry{Index: 1, Term: 1}, time.Second), ShouldEqual, time.Second)
	})
}

// keptDisk keeps what a replica's disk holds after it.
type keptDisk struct {
	quickDisk
	held *slot.Held
}

func (d keptDisk) Persist(_ int64, p *group.Persist, then func(error)) {
	if p.Hard != nil {
		d.held.Hard = *p.Hard
	}
	d.held.Log = append(d.held.Log, p.Entries...)
	then(nil)
}

func (d keptDisk) SaveSlot(_ int64, hard group.HardState, image *group.Image, p *group.Persist, then func(error)) {
	*d.held = slot.Held{Hard: hard, Image: image, Log: p.Entries}
	then(nil)
}

// live begins a replica on a disk and has it own its group of one.
func (d keptDisk) live() *Host {
	now := time.Duration(0)
	held := *d.held
	h, err := New(Options{Id: 1, Self: "a/0", Roster: []string{"a/0"}, Bounds: timing.Default, Disk: d, Held: &held,
		Machine: idleMachine{}, Now: func() time.Duration { return now }, Send: func(wire.GroupMsg) {}})
	So(err, ShouldBeNil)
	for range 100 {
		now += timing.Default.Of(timing.Tick)
		h.Tick()
		h.Pump()
	}
	So(h.IsOwner(), ShouldBeTrue)
	return h
}

// TestImageTerm: an image that was written between an election and the owner's first command once told the election's term as that of
// its newest command, so that words of the time of the ownership before counted no more, and what a loss of all stores took was lost.
func TestImageTerm(t *testing.T) {
	Convey("Given a command of one ownership and the election of another", t, func() {
		disk := keptDisk{held: &slot.Held{}}
		first := disk.live()
		first.Propose([]byte("command"), func(any, error) {})
		first.Tick()
		first.Pump()
		told := first.DataTerm()
		So(told, ShouldEqual, first.Term())
		second := disk.live()
		So(second.Term(), ShouldBeGreaterThan, told)
		So(second.DataTerm(), ShouldEqual, told)
		Convey("a replica that begins with an image of then knows the command's term", func() {
			second.Compact()
			second.Pump()
			So(disk.held.Image, ShouldNotBeNil)
			third := disk.live()
			So(third.DataTerm(), ShouldEqual, told)
		})
	})
}
