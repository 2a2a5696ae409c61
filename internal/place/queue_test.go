package place

import (
	"fmt"
	"slices"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

// TestQueueHoldsNothingBack guards against a memory leak: the queue got another entry with each state transition of a
// message, and so kept forgotten messages in memory.
func TestQueueHoldsNothingBack(t *testing.T) {
	Convey("Given messages that have run several times", t, func() {
		m := New()
		for i := range 50 {
			id := fmt.Sprint(i)
			m.Apply(take(id))
			for attempt := range int64(5) {
				m.Apply(start(id, attempt+1))
				m.Apply(runFailed(id, attempt+1))
			}
		}
		Convey("each has one position in each set of its state", func() {
			So(m.queue.expiries.tree.Size(), ShouldEqual, 50)
			So(m.Ready(0), ShouldResemble, map[string]int{"l": 50})
		})
		Convey("and none once it is forgotten", func() {
			for i := range 50 {
				m.Apply(closedAs(fmt.Sprint(i), 5, Failed))
				m.Apply(Command{Kind: CmdTrim, Ids: []string{fmt.Sprint(i)}})
			}
			q := m.queue
			So(len(q.positions)+len(q.running)+len(q.picked)+q.expiries.tree.Size()+q.delayed.tree.Size()+q.finished.tree.Size(), ShouldEqual, 0)
			So(m.Ready(0), ShouldBeEmpty)
		})
	})
}

// TestWaitsForARunThatMayGoOn checks that an ordered message whose run may still be in progress does not expire, and
// that the next one of its key does not start, before that run must be over.
func TestWaitsForARunThatMayGoOn(t *testing.T) {
	Convey("Given two messages of a key, the first with a run that may go on until 1500", t, func() {
		m := New()
		m.Apply(ordered("0"))
		m.Apply(ordered("1"))
		m.Apply(start("0", 1))
		open := runFailed("0", 1)
		open.HoldsKey, open.Deadline = true, 1500
		m.Apply(open)
		again, err := Restore(m.Snapshot())
		So(err, ShouldBeNil)
		for _, m := range []*Machine{m, again} {
			So(m.Ready(1499), ShouldBeEmpty)
			late := []string{}
			for _, e := range m.TakeExpired(1499) {
				late = append(late, e.Id)
			}
			So(late, ShouldResemble, []string{"1"})
			So(m.TakeExpired(1500)[0].Id, ShouldEqual, "0")
			So(m.Ready(1500)["l"], ShouldEqual, 1)
		}
	})
}

// TestPrompt guards against strict first-in-first-out order after an outage: every new message waited behind the whole
// backlog, and was late as well.
func TestPrompt(t *testing.T) {
	Convey("Given a backlog that is late and messages that can still start in time", t, func() {
		m := New()
		for i := range 40 {
			c := take(fmt.Sprint(i))
			c.At, c.StartWithin, c.Deadline = int64(i), 100, 100_000
			if i >= 30 {
				c.At = 5000
			}
			m.Apply(c)
		}
		order := []string{}
		for range 40 {
			order = append(order, m.Pick("l", 5010).Id)
		}
		Convey("those in time are picked first, with every fourth pick for the oldest", func() {
			So(order[:5], ShouldResemble, []string{"30", "31", "32", "0", "33"})
		})
		Convey("and then the backlog, least late first, with every fourth pick for the oldest; none is left out", func() {
			So(order[13:17], ShouldResemble, []string{"29", "28", "3", "27"})
			So(slices.Sorted(slices.Values(order)), ShouldHaveLength, 40)
			So(m.Pick("l", 5010), ShouldBeNil)
		})
	})
	Convey("StartBy is counted from the end of the delay", t, func() {
		m := New()
		c := take("1")
		c.Delay, c.StartWithin = 300, 100
		m.Apply(c)
		So(m.Find("1").StartBy, ShouldEqual, 400)
		again, err := Restore(m.Snapshot())
		So(err, ShouldBeNil)
		So(again.Find("1").StartBy, ShouldEqual, 400)
	})
}

// BenchmarkExpiry measures 100,000 messages, of which a tenth fail once, and which then all expire.
func BenchmarkExpiry(b *testing.B) {
	const count = 100_000
	for range b.N {
		m := New()
		for i := range count {
			m.Apply(take(fmt.Sprint(i)))
		}
		for range count / 10 {
			e := m.Pick("l", 0)
			m.Apply(start(e.Id, 1))
			m.Apply(runFailed(e.Id, 1))
		}
		for _, e := range m.TakeExpired(1000) {
			m.Apply(closedAs(e.Id, e.Attempt, Expired))
		}
	}
}
