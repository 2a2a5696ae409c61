package store

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"caperwheel/internal/config"
	"caperwheel/internal/feed"
	"caperwheel/internal/timing"
	"caperwheel/internal/wire"
)

// TestPartTime checks that a part's time is that of the newest edit plus the time that has passed since on this store.
// It neither goes back nor jumps by the time for which the store was idle before.
func TestPartTime(t *testing.T) {
	Convey("On a store that has run for a minute before it held a part,", t, func() {
		b := newHarness()
		p := NewPartHost(b, 0)
		taken := func(order string, at int64) {
			p.Apply(feed.EncodeEdit(wire.Edit{Key: config.ZoneKey + order, Value: []byte{}, OperationId: order, BaseVersion: wire.SingleCallBase, At: at}), false)
		}
		taken("1", 5000)
		Convey("part time is the newest edit's", func() { So(p.now(), ShouldEqual, 5000) })
		Convey("part time advances", func() {
			b.now += 2 * time.Second
			So(p.now(), ShouldEqual, 7000)
		})
		Convey("part time follows an edit of another owner that was behind", func() {
			b.now += 2 * time.Second
			taken("2", 6000)
			So(p.now(), ShouldEqual, 6000)
		})
		Convey("part time does not go back with an edit of this ownership", func() {
			b.now += 2 * time.Second
			p.Apply(feed.EncodeEdit(wire.Edit{OperationId: "2", BaseVersion: wire.SingleCallBase, At: 6000}), true)
			So(p.now(), ShouldEqual, 7000)
		})
		Convey("an owner commits the time while the age of an order matters, and then no more", func() {
			h := &proposals{harness: b}
			p.Attach(h)
			age := timing.Default.Of(timing.OrderMaxAge)
			for end := b.now + 2*age; b.now < end; b.now += timing.Default.Of(timing.Tick) {
				n := len(h.edits)
				p.Tick(b.now)
				for _, mark := range h.edits[n:] {
					So(p.Apply(feed.EncodeEdit(mark), true).(wire.Edited).Kind, ShouldEqual, "conflict")
				}
			}
			So(len(h.edits), ShouldBeBetween, 30, 41)
			So(h.edits[len(h.edits)-1].At, ShouldBeBetween, 5000+(age-time.Second).Milliseconds(), 5001+age.Milliseconds())
			So(p.part.Revision(), ShouldEqual, 1)
		})
		Convey("part time advances with an edit of an owner that was ahead", func() {
			taken("2", 9000)
			So(p.now(), ShouldEqual, 9000)
		})
		Convey("part time is restored from a snapshot", func() {
			other := NewPartHost(newHarness(), 0)
			So(other.Restore(p.Snapshot()), ShouldBeNil)
			So(other.now(), ShouldEqual, 5000)
		})
		Convey("an edit with an order carries the part time, and another edit does not", func() {
			h := &proposals{harness: b}
			p.Attach(h)
			b.now += time.Second
			p.Edit(wire.Edit{OperationId: "3"}, func(any) {})
			p.Edit(wire.Edit{}, func(any) {})
			So([]int64{h.edits[0].At, h.edits[1].At}, ShouldResemble, []int64{6000, 0})
		})
	})
}

// proposals records the edits that were proposed.
type proposals struct {
	*harness
	edits []wire.Edit
}

func (p *proposals) Propose(data []byte, _ func(any, error)) {
	e, err := feed.DecodeEdit(data)
	if err != nil {
		panic(err)
	}
	p.edits = append(p.edits, e)
}
