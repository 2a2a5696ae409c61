package store

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"caperwheel/internal/place"
	"caperwheel/internal/wire"
)

// TestRepeatedResults guards against a repeated result counting again. An adapter repeats a result if its
// acknowledgement was lost; a failure that counted twice failed the message before its last attempt.
func TestRepeatedResults(t *testing.T) {
	cases := []struct {
		name    string
		outcome wire.Outcome
		state   place.State
		spent   int64
	}{
		{"a failed attempt counts once", wire.Outcome{Kind: "unsound", MayHaveStarted: true}, place.Held, 1},
		{"a run that never began costs no attempt", wire.Outcome{Kind: "lost"}, place.Held, 0},
		{"a permanent refusal ends it", wire.Outcome{Kind: "rejected", MayHaveStarted: true, Final: true}, place.Failed, 0},
		{"a success ends it", wire.Outcome{}, place.Ended, 0},
	}
	Convey("Given a message of two attempts whose first run's result comes three times,", t, func() {
		for _, c := range cases {
			Convey(c.name, func() {
				b, e := startedHarness("l")
				c.outcome.Id, c.outcome.Proof.Attempt = "0-x", 1
				for range 3 {
					answers := 0
					b.place.Outcome(&c.outcome, func(any) { answers++ })
					b.commit(true)
					So(answers, ShouldEqual, 1)
				}
				So(e.State, ShouldEqual, c.state)
				So(e.CountedAttempts, ShouldEqual, c.spent)
			})
		}
		Convey("the second run's failure is the last", func() {
			b, e := startedHarness("l")
			for attempt := int64(1); attempt <= 2; attempt++ {
				e.Attempt, e.State = attempt, place.Started
				b.place.Outcome(&wire.Outcome{Id: "0-x", Kind: "unsound", MayHaveStarted: true, Proof: wire.Proof{Attempt: attempt}}, func(any) {})
				b.commit(true)
			}
			So(e.State, ShouldEqual, place.Failed)
		})
	})
}

// TestToldAgain guards against a repeated failure ending a message with an attempt left. An adapter without an
// acknowledgement repeats a result to the next owner; when the failure of the last but one attempt counted twice, the
// message failed and the next message of its key started.
func TestToldAgain(t *testing.T) {
	Convey("Given a message whose last but one attempt was reported to have failed", t, func() {
		b, e := startedHarness("l") // its lane has two attempts
		outcome := wire.Outcome{Id: "0-x", Kind: "unsound", MayHaveStarted: true, Proof: wire.Proof{Attempt: 1}}
		b.place.Outcome(&outcome, func(any) {})
		b.commit(true)
		So(e.CountedAttempts, ShouldEqual, 1)
		Convey("the same report again changes nothing, and is acknowledged", func() {
			var ack any
			b.place.Outcome(&outcome, func(reply any) { ack = reply })
			b.commit(true)
			So(e.State, ShouldEqual, place.Held)
			So(e.CountedAttempts, ShouldEqual, 1)
			So(ack, ShouldResemble, &wire.OutcomeAck{})
		})
	})
}
