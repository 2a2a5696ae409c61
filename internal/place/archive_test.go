package place

import (
	"fmt"
	"runtime"
	"strings"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"caperwheel/internal/errs"
)

// heapBytesAfterGC returns the bytes of live heap objects after a garbage collection.
func heapBytesAfterGC() uint64 {
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}

// TestEndsAreSmall limits the memory of messages that are over, which are kept for two minutes at rates of hundreds
// per second. When each took 1,100 bytes on every replica, a store accepted nothing new after some 105 s of ordinary
// traffic.
func TestEndsAreSmall(t *testing.T) {
	const count, maxBytes = 20000, 700
	Convey("A message that is over takes little memory, also on a replica that is restored from a snapshot", t, func() {
		before, failed := heapBytesAfterGC(), 0
		m := New()
		for i := range count { // without assertions, which would take memory themselves
			c := take(fmt.Sprintf("9c41d07b%08x", i))
			c.Body, c.Lane, c.ContentType, c.Checksum = make([]byte, 500), "r-x5wa5xw", "application/json", strings.Repeat("5", 32)
			c.Head = []byte("POST /bose230/zi72/2f HTTP/1.1\nHost: boye61.example\n")
			for _, c := range []Command{c, start(c.Id, 1), succeededAndDropped(c.Id, 1)} {
				read, err := Decode(c.Encode()) // as read from a log
				if err != nil || m.Apply(read).Kind != "" {
					failed++
				}
			}
		}
		So(failed, ShouldEqual, 0)
		So((heapBytesAfterGC()-before)/count, ShouldBeLessThan, maxBytes)
		snapshot := m.Snapshot()
		m = nil
		before = heapBytesAfterGC()
		restored, err := Restore(snapshot)
		So(err, ShouldBeNil)
		So((heapBytesAfterGC()-before)/count, ShouldBeLessThan, maxBytes)
		runtime.KeepAlive(restored)
		runtime.KeepAlive(snapshot)
	})
}

// TestArchive checks that archived messages, which are kept in encoded form, behave as before.
func TestArchive(t *testing.T) {
	done := func() *Machine {
		c := notified("1")
		c.IdempotencyKey = "i"
		m := applyAll(New(), c, start("1", 1), succeededAndDropped("1", 1))
		So(m.archive, ShouldBeEmpty) // its caller has not been notified yet
		m.Apply(markNotified("1"))
		So(m.archive, ShouldHaveLength, 1)
		So(m.messages, ShouldBeEmpty)
		return m
	}
	restored := func() *Machine {
		m, err := Restore(done().Snapshot())
		So(err, ShouldBeNil)
		So(m.archive, ShouldHaveLength, 1)
		return m
	}
	for name, made := range map[string]func() *Machine{"a place": done, "a restored place": restored} {
		Convey("In "+name+", a message that is over and whose caller has been notified", t, func() {
			m := made()
			Convey("is found with its proof, and counted", func() {
				e := m.Find("1")
				So(e.State, ShouldEqual, Ended)
				So(e.Proof.Attempt, ShouldEqual, 1)
				So(e.Notify, ShouldEqual, "http://10.0.0.9:1/x")
				count, bytes := m.Count()
				So([]int64{int64(count), bytes}, ShouldResemble, []int64{1, 0})
				counts := m.LaneStats(0).Counts
				So(counts, ShouldResemble, map[string]map[State]int{"l": {Ended: 1}})
			})
			Convey("is not accepted again", func() {
				c := notified("1")
				c.IdempotencyKey = "i"
				So(m.Apply(c).State, ShouldEqual, Ended)
				c.Checksum = "another"
				So(m.Apply(c).Kind, ShouldEqual, errs.Conflict)
				c.Id = "2"
				So(m.Apply(c).Kind, ShouldEqual, errs.Conflict) // the same idempotency key
			})
			Convey("is not changed by any command", func() {
				was := string(m.Snapshot())
				applyAll(m, start("1", 2), runFailed("1", 1), closedAs("1", 1, Failed), runSucceeded("1", 1), markNotified("1"))
				So(string(m.Snapshot()), ShouldEqual, was)
			})
			Convey("is forgotten after its retention time, with its idempotency key", func() {
				So(m.TakeForgettable(99, 9), ShouldBeEmpty)
				So(m.TakeForgettable(100, 9), ShouldResemble, []string{"1"})
				m.Apply(Command{Kind: CmdTrim, Ids: []string{"1"}})
				So(m.Find("1"), ShouldBeNil)
				So(m.idempotencyKeys, ShouldBeEmpty)
				count, _ := m.Count()
				So(count, ShouldEqual, 0)
			})
		})
	}
	Convey("A failed message keeps its body", t, func() {
		m := applyAll(New(), take("1"), start("1", 1), closedAs("1", 1, Failed))
		So(m.archive, ShouldHaveLength, 1)
		So(m.Find("1").Body, ShouldResemble, take("1").Body)
		So(m.bytes, ShouldEqual, int64(len(take("1").Body)))
	})
	Convey("A parent is not archived until another place has accepted its call-back", t, func() {
		c := runSucceeded("1", 1)
		c.Child = Child{Id: "c", Lane: "back", Parent: "1"}
		m := applyAll(New(), take("1"), start("1", 1), c)
		So(m.archive, ShouldBeEmpty)
		m.Apply(Command{Kind: CmdOutboxDelivered, Id: "c"})
		So(m.archive, ShouldHaveLength, 1)
		So(m.Find("1").Child, ShouldEqual, "c")
	})
	Convey("The messages that were over first are forgotten first, up to the limit", t, func() {
		m := New()
		for i, id := range []string{"3", "1", "2"} {
			c := runSucceeded(id, 1)
			c.Retain = int64(10 - i)
			applyAll(m, take(id), start(id, 1), c)
		}
		So(m.TakeForgettable(99, 2), ShouldResemble, []string{"2", "1"})
		So(m.Find("2").Proof.Worker, ShouldEqual, runSucceeded("2", 1).Proof.Worker)
	})
}
