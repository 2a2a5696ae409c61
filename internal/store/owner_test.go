package store

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"caperwheel/internal/place"
	"caperwheel/internal/wire"
)

// TestReplacedOwner guards against an owner that was replaced without noticing it acknowledging results of messages
// that it has never received.
func TestReplacedOwner(t *testing.T) {
	cases := []struct {
		name string
		ask  func(p *PlaceHost, answer func(any))
	}{
		{"a message", func(p *PlaceHost, answer func(any)) { p.Take(&wire.Take{Id: "0-n", Lane: "l"}, answer) }},
		{"a settlement", func(p *PlaceHost, answer func(any)) { p.Settle(&wire.Settle{Id: "0-n"}, answer) }},
		{"a result of a message it holds", func(p *PlaceHost, answer func(any)) {
			p.Outcome(&wire.Outcome{Id: "0-x", Proof: wire.Proof{Attempt: 1}}, answer)
		}},
		{"a result of a message it never received", func(p *PlaceHost, answer func(any)) {
			p.Outcome(&wire.Outcome{Id: "0-stranger", Proof: wire.Proof{Attempt: 1}}, answer)
		}},
	}
	Convey("An owner that cannot commit acknowledges no", t, func() {
		for _, c := range cases {
			Convey(c.name, func() {
				b, _ := startedHarness("l")
				answers := []any{}
				c.ask(b.place, func(reply any) { answers = append(answers, reply) })
				So(answers, ShouldBeEmpty)
				b.commit(false)
				So(len(answers), ShouldEqual, 1)
				switch m := answers[0].(type) {
				case *wire.Taken:
					So(m.Kind, ShouldEqual, "undecided")
				case *wire.OutcomeAck:
					So(m.Kind, ShouldEqual, "undecided")
				}
			})
		}
	})
}

// TestOpenRuns checks what an owner does about a run that its adapter has not confirmed.
func TestOpenRuns(t *testing.T) {
	cases := []struct {
		name   string
		lane   string
		boot   string // of the adapter that is a member; empty for none
		state  string // its answer
		wait   time.Duration
		isAsk  bool
		state2 place.State
	}{
		{"an absent adapter is waited for if results are also kept elsewhere", "kept", "", "", 9 * time.Minute, false, place.Started},
		{"an absent adapter is waited for until the patience is over if results are also kept elsewhere", "kept", "", "", time.Hour, false, place.Expired},
		{"an absent adapter is waited for shortly", "l", "", "", 2900 * time.Millisecond, false, place.Started},
		{"the message is requeued if its adapter stays absent", "l", "", "", 3 * time.Second, false, place.Held},
		{"an absent adapter is waited for if the lane does not allow a rerun", "once", "", "", 9 * time.Minute, false, place.Started},
		{"an absent adapter is waited for until the patience is over if the lane does not allow a rerun", "once", "", "", time.Hour, false, place.Expired},
		{"a run still open is waited for", "l", "1", "open", time.Hour, true, place.Started},
		{"a message whose run never began is requeued", "l", "1", "never", 0, true, place.Held},
		{"a run whose result the next incarnation's agent keeps is waited for", "l", "2", "open", time.Hour, true, place.Started},
		{"a run that the restarted adapter does not have is waited for shortly", "l", "2", "gone", time.Second, true, place.Started},
		{"the message is requeued if the restarted adapter still does not have the run", "l", "2", "gone", 5 * time.Second, true, place.Held},
		{"the message fails if the lane does not allow a rerun", "once", "2", "gone", 5 * time.Second, true, place.Failed},
	}
	Convey("Given a started message and a new owner,", t, func() {
		for _, c := range cases {
			Convey(c.name, func() {
				b, e := startedHarness(c.lane)
				takeOwnership(b.place) // clears the confirmations
				b.posted, b.answers = nil, nil
				if c.boot != "" {
					b.members["a"] = wire.Who{Name: "a", Boot: c.boot}
				}
				for _, at := range []time.Duration{0, c.wait} {
					b.now = time.Minute + at
					b.place.checkOpenRuns(b.now)
					for _, answer := range b.answers {
						answer(&wire.OpenAck{State: c.state}, nil)
					}
					b.answers = nil
					b.commit(true)
				}
				So(len(b.posted) > 0, ShouldEqual, c.isAsk)
				So(e.State, ShouldEqual, c.state2)
			})
		}
	})
}

// TestJudge checks what a result means for its message.
func TestJudge(t *testing.T) {
	cases := []struct {
		name    string
		outcome wire.Outcome
		spent   int64
		state   place.State
	}{
		{"a success ends it", wire.Outcome{}, 0, place.Ended},
		{"a failure with attempts left requeues it", wire.Outcome{Kind: "unsound", MayHaveStarted: true}, 0, place.Held},
		{"the last attempt's failure fails it", wire.Outcome{Kind: "unsound", MayHaveStarted: true}, 1, place.Failed},
		{"a run that never reached the worker costs no attempt", wire.Outcome{Kind: "lost"}, 1, place.Held},
		{"an answer that rejects the message fails it at once", wire.Outcome{Kind: "rejected", MayHaveStarted: true, Final: true}, 0, place.Failed},
	}
	Convey("Given a started message,", t, func() {
		for _, c := range cases {
			Convey(c.name, func() {
				b, e := startedHarness("l")
				e.CountedAttempts = c.spent
				c.outcome.Id, c.outcome.Proof.Attempt = "0-x", 1
				b.place.Outcome(&c.outcome, func(any) {})
				b.commit(true)
				So(e.State, ShouldEqual, c.state)
			})
		}
	})
}

func TestFullDiskRejectsIntakeOnly(t *testing.T) {
	Convey("Given a disk that is nearly full", t, func() {
		b, e := startedHarness("l")
		b.isDiskFull = true
		Convey("nothing more is accepted, and held messages come to their end", func() {
			answers := []*wire.Taken{}
			b.place.Take(&wire.Take{Id: "0-y", Lane: "l"}, func(reply any) { answers = append(answers, reply.(*wire.Taken)) })
			So(answers[0].Kind, ShouldEqual, "disk_full")
			So(answers[0].Retry, ShouldBeGreaterThan, 0)
			b.place.Outcome(&wire.Outcome{Id: "0-x", Proof: wire.Proof{Attempt: 1}}, func(any) {})
			b.commit(true)
			So(e.State, ShouldEqual, place.Ended)
		})
	})
}
