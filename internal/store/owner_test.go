package store

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"caperwheel/internal/place"
	"caperwheel/internal/wire"
)

// TestReplacedOwner: an owner that had been replaced without knowing once
// acknowledged results of messages that it had never heard of.
func TestReplacedOwner(t *testing.T) {
	cases := []struct {
		name string
		ask  func(p *PlaceHost, answer func(any))
	}{
		{"a message", func(p *PlaceHost, answer func(any)) { p.Take(&wire.Take{Id: "0-n", Lane: "l"}, answer) }},
		{"a settlement", func(p *PlaceHost, answer func(any)) { p.Settle(&wire.Settle{Id: "0-n"}, answer) }},
		{"a result of a message it knows", func(p *PlaceHost, answer func(any)) {
			p.Outcome(&wire.Outcome{Id: "0-x", Proof: wire.Proof{Attempt: 1}}, answer)
		}},
		{"a result of a message it never heard of", func(p *PlaceHost, answer func(any)) {
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

// TestOpenRuns is the table of what an owner does about a run that it does not
// know to be in hand.
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
		{"an adapter that is away is waited for where others keep results", "kept", "", "", 9 * time.Minute, false, place.Started},
		{"… there, too, until the message's patience is over", "kept", "", "", time.Hour, false, place.Expired},
		{"an adapter that is away is waited for a little", "l", "", "", 2900 * time.Millisecond, false, place.Started},
		{"… and its run is then held again", "l", "", "", 3 * time.Second, false, place.Held},
		{"… or waited for, if its lane does not allow a rerun", "once", "", "", 9 * time.Minute, false, place.Started},
		{"… until the message's patience is over", "once", "", "", time.Hour, false, place.Expired},
		{"a run still open is waited for", "l", "1", "open", time.Hour, true, place.Started},
		{"a run that never began is held again", "l", "1", "never", 0, true, place.Held},
		{"a run kept beside the next life is waited for", "l", "2", "open", time.Hour, true, place.Started},
		{"a run that is gone is waited for a little", "l", "2", "gone", time.Second, true, place.Started},
		{"… and is then held again", "l", "2", "gone", 5 * time.Second, true, place.Held},
		{"… or has failed, if its lane does not allow a rerun", "once", "2", "gone", 5 * time.Second, true, place.Failed},
	}
	Convey("Given a started message and a new owner,", t, func() {
		for _, c := range cases {
			Convey(c.name, func() {
				b, e := startedHarness(c.lane)
				takeOwnership(b.place) // nothing is in hand any more
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

// TestJudge is the table of what a result means.
func TestJudge(t *testing.T) {
	cases := []struct {
		name    string
		outcome wire.Outcome
		spent   int64
		state   place.State
	}{
		{"a success ends it", wire.Outcome{}, 0, place.Ended},
		{"a mishap with attempts left holds it again", wire.Outcome{Kind: "unsound", MayHaveStarted: true}, 0, place.Held},
		{"the last attempt's mishap fails it", wire.Outcome{Kind: "unsound", MayHaveStarted: true}, 1, place.Failed},
		{"a run that never reached the worker costs nothing", wire.Outcome{Kind: "lost"}, 1, place.Held},
		{"an answer that blames the message fails it at once", wire.Outcome{Kind: "rejected", MayHaveStarted: true, Final: true}, 0, place.Failed},
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
		b.isFull = true
		Convey("nothing more is taken, and what is held comes to its end", func() {
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
