package store

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"caperwheel/internal/errs"
	"caperwheel/internal/place"
	"caperwheel/internal/wire"
)

// TestSentAgain guards against a repeated message being appended to the log again while its first request is not
// committed: the slower the disks, the more would have to be written.
func TestSentAgain(t *testing.T) {
	Convey("Given a place with a message whose acceptance is not committed", t, func() {
		b, answers := newHarness(), []*wire.Taken{}
		take := func(sum string) {
			b.place.Take(&wire.Take{Id: "0-y", Lane: "l", Checksum: sum, Deadline: 600_000},
				func(reply any) { answers = append(answers, reply.(*wire.Taken)) })
		}
		take("s")
		Convey("a repeat is not proposed again, and each request gets the answer", func() {
			take("s")
			take("s")
			So(len(b.proposed), ShouldEqual, 1)
			b.commit(true)
			So(len(answers), ShouldEqual, 3)
			for i, a := range answers { // all but the first are marked as repeats
				So(*a, ShouldResemble, wire.Taken{Id: "0-y", State: string(place.Held), IsRepeat: i > 0})
			}
			take("s")
			So(len(answers), ShouldEqual, 4)
		})
		Convey("each request is answered when the owner is replaced meanwhile", func() {
			take("s")
			b.commit(false)
			So(len(answers), ShouldEqual, 2)
			So(answers[1].Kind, ShouldEqual, string(errs.Undecided))
			take("s")
			So(len(b.proposed), ShouldEqual, 1)
		})
		Convey("other bytes under the same id are proposed separately", func() {
			take("other")
			So(len(b.proposed), ShouldEqual, 2)
		})
		Convey("a stalled place answers each request alike", func() {
			b.isDiskBusy = true
			take("s")
			So(len(answers), ShouldEqual, 0) // as for the first request: the message may still be accepted
			b.commit(true)
			So(len(answers), ShouldEqual, 2)
		})
	})
	Convey("Given a run whose result is not committed", t, func() {
		b, e := startedHarness("l")
		acks := []*wire.OutcomeAck{}
		outcome := func(kind errs.Kind) {
			b.place.Outcome(&wire.Outcome{Id: "0-x", Kind: string(kind), MayHaveStarted: true, Proof: wire.Proof{Attempt: 1}},
				func(reply any) { acks = append(acks, reply.(*wire.OutcomeAck)) })
		}
		outcome("")
		Convey("a repeat is not proposed again, and each is acknowledged once it is durable", func() {
			outcome("")
			So(len(b.proposed), ShouldEqual, 1)
			So(len(acks), ShouldEqual, 0)
			b.commit(true)
			So(len(acks), ShouldEqual, 2)
			So(e.State, ShouldEqual, place.Ended)
		})
		Convey("another result of the run is proposed", func() {
			outcome(errs.Unhealthy)
			So(len(b.proposed), ShouldEqual, 2)
		})
	})
}
