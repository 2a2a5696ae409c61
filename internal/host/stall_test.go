package host

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"caperwheel/internal/group"
	"caperwheel/internal/timing"
	"caperwheel/internal/wire"
)

// stalledDisk is a disk that completes no write until answer is called.
type stalledDisk struct {
	waiting []func(error)
	slots   int
}

func (d *stalledDisk) Persist(_ int64, _ *group.DurableUpdate, then func(error)) {
	d.waiting = append(d.waiting, then)
}
func (d *stalledDisk) AfterWrites(then func(error)) { d.waiting = append(d.waiting, then) }
func (d *stalledDisk) SaveSlot(_ int64, _ group.HardState, _ *group.Snapshot, _ *group.DurableUpdate, then func(error)) {
	d.slots++
	d.waiting = append(d.waiting, then)
}

// answer completes all waiting writes.
func (d *stalledDisk) answer(h *Host) {
	for len(d.waiting) > 0 {
		waiting := d.waiting
		d.waiting = nil
		for _, then := range waiting {
			then(nil)
		}
		h.RunPending()
	}
}

// noopMachine is a state machine that accepts any command.
type noopMachine struct{}

func (noopMachine) Apply([]byte, bool) any { return nil }
func (noopMachine) Snapshot() []byte       { return []byte("state") }
func (noopMachine) Restore([]byte) error   { return nil }
func (noopMachine) OwnershipChanged(bool)  {}
func (noopMachine) Tick(time.Duration)     {}

// TestStalledDisk guards against a group that queues its whole state again and again while its slot cannot
// be written.
func TestStalledDisk(t *testing.T) {
	Convey("Given the owner of a group of one", t, func() {
		now, disk := time.Duration(0), &stalledDisk{}
		h, err := New(Options{Id: 1, Self: "a/0", Roster: []string{"a/0"}, Bounds: timing.Default, Disk: disk, Machine: noopMachine{},
			Now: func() time.Duration { return now }, Send: func(wire.GroupMsg) {}, OnFailure: func(err error) { panic(err) }})
		So(err, ShouldBeNil)
		now = timing.Default.ConfigApply
		h.Tick()
		disk.answer(h)
		now += time.Millisecond
		h.Tick()
		So(h.IsOwner(), ShouldBeTrue)
		Convey("only one slot is being written at a time", func() {
			for range 20 {
				h.Compact()
				h.RunPending()
			}
			So(disk.slots, ShouldEqual, 1)
			disk.answer(h)
			So(disk.slots, ShouldBeLessThanOrEqualTo, 2)
			h.Compact()
			h.RunPending()
			So(disk.slots, ShouldBeBetweenOrEqual, 2, 3)
		})
		Convey("it reports how long the oldest proposal has waited", func() {
			So(h.OldestProposalAge(), ShouldEqual, 0)
			h.Propose([]byte("x"), func(any, error) {})
			now += time.Second
			h.Propose([]byte("y"), func(any, error) {})
			now += time.Second
			So(h.OldestProposalAge(), ShouldEqual, 2*time.Second)
			disk.answer(h)
			So(h.OldestProposalAge(), ShouldEqual, 0)
		})
	})
}
