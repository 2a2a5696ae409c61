package store

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"caperwheel/internal/timing"
	"caperwheel/internal/wire"
)

// TestLook is the table of what an owner tells of a message, and when: only an end needs
// no confirmation that came after the question.
func TestLook(t *testing.T) {
	const span = 10 * time.Millisecond
	cases := []struct {
		name        string
		id          string
		unconfirmed time.Duration // at the question
		confirmedBy time.Duration // after it; 0 for never
		state, kind string
		isAtOnce    bool
	}{
		{"a message under way, confirmed since", "0-x", 0, 0, "started", "", true},
		{"a message under way, confirmed before only", "0-x", span, 5 * span, "started", "", false},
		{"a message under way, never confirmed again", "0-x", span, 0, "", "not_owner", false},
		{"a message that is not known, confirmed before only", "0-n", span, 5 * span, "", "unknown", false},
		{"a message that is not known, never confirmed again", "0-n", span, 0, "", "not_owner", false},
		{"a message that is over, never confirmed again", "0-y", span, 0, "rejected", "", true},
	}
	Convey("Asked for", t, func() {
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
