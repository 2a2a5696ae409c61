package store

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"caperwheel/internal/errs"
	"caperwheel/internal/place"
	"caperwheel/internal/wire"
)

// TestStalledIntake guards against a place with stalled disks accepting messages until their callers time out, without
// telling any of them that its message is not accepted.
func TestStalledIntake(t *testing.T) {
	cases := []struct {
		name   string
		stall  func(b *harness)
		isHeld bool
	}{
		{"whose disk has too much to write rejects messages", func(b *harness) { b.isDiskBusy = true }, false},
		{"whose proposals are not committed rejects messages", func(b *harness) { b.oldest = time.Second }, false},
		{"whose proposals take a moment accepts messages", func(b *harness) { b.oldest = 100 * time.Millisecond }, true},
	}
	Convey("A place", t, func() {
		for _, c := range cases {
			Convey(c.name, func() {
				b, e := startedHarness("l")
				c.stall(b)
				var taken *wire.Taken
				b.place.Take(&wire.Take{Id: "0-y", Lane: "l"}, func(reply any) { taken = reply.(*wire.Taken) })
				if c.isHeld {
					b.commit(true)
					So(taken.Kind, ShouldEqual, "")
				} else { // rejected at once, and the message can never run
					So(taken.Kind, ShouldEqual, string(errs.Full))
					So(taken.Retry, ShouldBeGreaterThan, 0)
					So(len(b.proposed), ShouldEqual, 0)
				}
				b.place.Take(&wire.Take{Id: "0-x", Lane: "l"}, func(reply any) { taken = reply.(*wire.Taken) })
				So(taken.Kind, ShouldEqual, "") // accepted before
				b.place.Outcome(&wire.Outcome{Id: "0-x", Proof: wire.Proof{Attempt: 1}}, func(any) {})
				b.commit(true)
				So(e.State, ShouldEqual, place.Ended)
			})
		}
	})
}
