package store

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"caperwheel/internal/timing"
	"caperwheel/internal/wire"
)

// TestLook checks what an owner answers to a query for a message, and when: only an end needs no confirmation of the
// ownership after the query arrived.
func TestLook(t *testing.T) {
	const span = 10 * time.Millisecond
	cases := []struct {
		name        string
		id          string
		unconfirmed time.Duration // when the query arrives
		confirmedBy time.Duration // after the query; 0 for never
		state, kind string
		isAtOnce    bool
	}{
		{"an open message, confirmed since", "0-x", 0, 0, "started", "", true},
		{"an open message, confirmed before only", "0-x", span, 5 * span, "started", "", false},
		{"an open message, never confirmed again", "0-x", span, 0, "", "not_owner", false},
		{"an unknown message, confirmed before only", "0-n", span, 5 * span, "", "unknown", false},
		{"an unknown message, never confirmed again", "0-n", span, 0, "", "not_owner", false},
		{"an ended message, never confirmed again", "0-y", span, 0, "rejected", "", true},
	}
	Convey("Queried for", t, func() {
		for _, c := range cases {
			Convey(c.name, func() {
				b, _ := startedHarness("l")
				b.place.Settle(&wire.Settle{Id: "0-y", Lane: "l"}, func(any) {})
				b.commit(true)
				var got *wire.Sight
				b.unconfirmed = c.unconfirmed
				began := b.now
				b.place.Look(&wire.Look{Id: c.id}, func(reply any) { got = reply.(*wire.Sight) })
				So(got != nil, ShouldEqual, c.isAtOnce)
				for got == nil && b.now < began+2*timing.Default.Of(timing.AnswerTimeout) {
					b.now += span
					b.unconfirmed += span
					if c.confirmedBy > 0 && b.now >= began+c.confirmedBy {
						b.unconfirmed = 0
					}
					later := b.deferred
					b.deferred = nil
					for _, work := range later {
						work()
					}
				}
				So(got, ShouldNotBeNil)
				So(got.State, ShouldEqual, c.state)
				So(got.Kind, ShouldEqual, c.kind)
			})
		}
	})
}
