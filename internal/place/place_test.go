package place

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"caperwheel/internal/errs"
	"caperwheel/internal/wire"
)

func take(id string) Command {
	return Command{Kind: CmdTake, Id: id, Lane: "l", Key: "k", Body: []byte("b" + id), Checksum: "s" + id, Deadline: 1000}
}

func ordered(id string) Command { c := take(id); c.Ordered = true; return c }

func idem(id, key, sum string) Command {
	c := take(id)
	c.IdempotencyKey, c.Checksum = key, sum
	return c
}

func start(id string, attempt int64) Command {
	return Command{Kind: CmdStart, Id: id, Attempt: attempt, Adapter: "a", Boot: "b"}
}

func runSucceeded(id string, attempt int64) Command {
	return Command{Kind: CmdRunSucceeded, Id: id, Proof: wire.Proof{Attempt: attempt, Worker: "w"}, Retain: 100}
}

func runFailed(id string, attempt int64) Command {
	return Command{Kind: CmdRunFailed, Id: id, Attempt: attempt, Cause: "unsound", CountsAsAttempt: true}
}

func closedAs(id string, attempt int64, state State) Command {
	return Command{Kind: CmdClose, Id: id, Attempt: attempt, State: string(state), Retain: 100}
}

func tombstone(id string) Command { return Command{Kind: CmdTombstone, Id: id, Retain: 100} }

// TestCommands checks the effect of each command in each state.
func TestCommands(t *testing.T) {
	cases := []struct {
		name   string
		before []Command
		last   Command
		state  State
		kind   errs.Kind
	}{
		{"a message is held", nil, take("1"), Held, ""},
		{"a repeated take changes nothing", []Command{take("1"), start("1", 1)}, take("1"), Started, ""},
		{"a message with a tombstone is never accepted", []Command{tombstone("1")}, take("1"), Tombstone, errs.Rejected},
		{"a held message gets no tombstone", []Command{take("1")}, tombstone("1"), Held, ""},
		{"a held message starts", []Command{take("1")}, start("1", 1), Started, ""},
		{"a started message does not start again", []Command{take("1"), start("1", 1)}, start("1", 2), Started, errs.Conflict},
		{"an attempt number is not skipped", []Command{take("1")}, start("1", 2), Held, errs.Conflict},
		{"the success of a run ends the message", []Command{take("1"), start("1", 1)}, runSucceeded("1", 1), Ended, ""},
		{"the success of a run that was never started is refused", []Command{take("1"), start("1", 1)}, runSucceeded("1", 2), Started, errs.Conflict},
		{"an ended message does not start again", []Command{take("1"), start("1", 1), runSucceeded("1", 1)}, start("1", 2), Ended, errs.Conflict},
		{"after the failure of a run the message is held again", []Command{take("1"), start("1", 1)}, runFailed("1", 1), Held, ""},
		{"the failure of an older run is ignored", []Command{take("1"), start("1", 1), runFailed("1", 1), start("1", 2)}, runFailed("1", 1), Started, ""},
		{"the success of an older run ends a held message", []Command{take("1"), start("1", 1), runFailed("1", 1)}, runSucceeded("1", 1), Ended, ""},
		{"the success of an older run does not count during a newer one", []Command{take("1"), start("1", 1), runFailed("1", 1), start("1", 2)}, runSucceeded("1", 1), Started, ""},
		{"… but does once that one has failed", []Command{take("1"), start("1", 1), runFailed("1", 1), start("1", 2), runSucceeded("1", 1)}, runFailed("1", 2), Ended, ""},
		{"a held message expires", []Command{take("1")}, closedAs("1", 0, Expired), Expired, ""},
		{"a message that has started since does not expire", []Command{take("1"), start("1", 1)}, closedAs("1", 0, Expired), Started, ""},
		{"a success is not undone by a failure", []Command{take("1"), start("1", 1), runSucceeded("1", 1)}, closedAs("1", 1, Failed), Ended, ""},
		{"a command for an unknown message is refused", nil, runSucceeded("1", 1), "", errs.Unknown},
		{"an ordered message does not overtake an earlier one", []Command{ordered("0"), ordered("1")}, start("1", 1), Held, errs.Conflict},
		{"… nor while that one is started", []Command{ordered("0"), ordered("1"), start("0", 1)}, start("1", 1), Held, errs.Conflict},
		{"… but starts once it has ended", []Command{ordered("0"), ordered("1"), start("0", 1), runSucceeded("0", 1)}, start("1", 1), Started, ""},
		{"the same idempotency key and bytes are one message", []Command{idem("0", "i", "s"), start("0", 1)}, idem("1", "i", "s"), "", ""},
		{"the same idempotency key and other bytes conflict", []Command{idem("0", "i", "s")}, idem("1", "i", "t"), "", errs.Conflict},
	}
	Convey("In a place", t, func() {
		for _, c := range cases {
			Convey(c.name, func() {
				m := New()
				for _, b := range c.before {
					So(m.Apply(b).Kind, ShouldBeEmpty)
				}
				v := m.Apply(c.last)
				So(v.Kind, ShouldEqual, c.kind)
				state := State("")
				if e := m.Find("1"); e != nil {
					state = e.State
				}
				So(state, ShouldEqual, c.state)
				again, err := Restore(m.Snapshot()) // a snapshot restores the same state
				So(err, ShouldBeNil)
				So(again.Snapshot(), ShouldResemble, m.Snapshot())
			})
		}
	})
}

func TestProofIsOfTheRunThatSucceeded(t *testing.T) {
	Convey("Given a message whose first run was reported as a success during the second run", t, func() {
		m := New()
		for _, c := range []Command{take("1"), start("1", 1), runFailed("1", 1), start("1", 2), runSucceeded("1", 1)} {
			m.Apply(c)
		}
		Convey("after the success of the second run the proof is that of the second run", func() {
			m.Apply(runSucceeded("1", 2))
			So(m.Find("1").Proof.Attempt, ShouldEqual, 2)
		})
		Convey("after the failure of the second run the proof is that of the first run", func() {
			m.Apply(runFailed("1", 2))
			So(m.Find("1").Proof.Attempt, ShouldEqual, 1)
			Convey("which no later report replaces", func() {
				m.Apply(runSucceeded("1", 2))
				So(m.Find("1").Proof.Attempt, ShouldEqual, 1)
			})
		})
	})
}

func TestQueue(t *testing.T) {
	Convey("Given three ordered messages of a key and two unordered ones", t, func() {
		m := New()
		for _, id := range []string{"1", "2", "3"} {
			m.Apply(ordered(id))
		}
		m.Apply(take("4"))
		m.Apply(take("5"))
		Convey("only the first of the key and the unordered ones are ready", func() {
			So(m.Ready(0), ShouldResemble, map[string]int{"l": 3})
			So(m.Pick("l", 0).Id, ShouldEqual, "1")
			So(m.Pick("l", 0).Id, ShouldEqual, "4")
			So(m.Pick("l", 0).Id, ShouldEqual, "5")
			So(m.Pick("l", 0), ShouldBeNil)
			m.Unpick(m.Find("4"))
			So(m.Pick("l", 0).Id, ShouldEqual, "4")
		})
		Convey("a backoff is observed, also by a new owner", func() {
			m.Apply(start("4", 1))
			pause := runFailed("4", 1)
			pause.Deadline = 50
			m.Apply(pause)
			again, err := Restore(m.Snapshot())
			So(err, ShouldBeNil)
			So(again.Ready(49)["l"], ShouldEqual, 2)
			So(again.Ready(50)["l"], ShouldEqual, 3)
		})
		Convey("retries cannot starve fresh messages", func() {
			for i := range 8 {
				id := "r" + string(rune('a'+i))
				m.Apply(take(id))
				m.Apply(start(id, 1))
				m.Apply(runFailed(id, 1))
			}
			fresh := 0
			for range 4 {
				if m.Pick("l", 0).Attempt == 0 {
					fresh++
				}
			}
			So(fresh, ShouldEqual, 3)
		})
		Convey("expired messages are returned once, and those that are over can be forgotten", func() {
			So(len(m.TakeExpired(999)), ShouldEqual, 0)
			So(len(m.TakeExpired(1000)), ShouldEqual, 5)
			m.Apply(closedAs("4", 0, Expired))
			So(m.TakeForgettable(99, 9), ShouldBeEmpty)
			So(m.TakeForgettable(100, 9), ShouldResemble, []string{"4"})
			m.Apply(Command{Kind: CmdTrim, Ids: []string{"4"}})
			So(m.Find("4"), ShouldBeNil)
		})
		Convey("a failure that blocks its key keeps the next message waiting until it is forgotten", func() {
			c := closedAs("1", 0, Failed)
			c.HoldsKey = true
			m.Apply(c)
			So(m.Ready(0)["l"], ShouldEqual, 2)
			m.Apply(Command{Kind: CmdTrim, Ids: []string{"1"}})
			So(m.Ready(0)["l"], ShouldEqual, 3)
		})
		Convey("a call-back stays in the outbox until another place has accepted it", func() {
			m.Apply(start("4", 1))
			e := runSucceeded("4", 1)
			e.Child = Child{Id: "c", Lane: "back"}
			m.Apply(e)
			m.Apply(Command{Kind: CmdTrim, Ids: []string{"4"}})
			So(m.Find("4"), ShouldNotBeNil)
			again, _ := Restore(m.Snapshot())
			So(again.Outbox()["c"].Lane, ShouldEqual, "back")
			m.Apply(Command{Kind: CmdOutboxDelivered, Id: "c"})
			So(m.Outbox(), ShouldBeEmpty)
		})
	})
}
