package store

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"caperwheel/internal/wire"
)

const thawTick = 30 * time.Millisecond

// TestRecallAfterSilence guards against LOST: after a silence of all adapters the first that answered, which knew nothing, had a
// place go on without the time of the outage, though one that knew it answered a moment later.
func TestRecallAfterSilence(t *testing.T) {
	for _, silence := range []time.Duration{time.Second, 4 * time.Second, 6 * time.Second} {
		Convey("After adapters were silent for "+silence.String(), t, func() {
			b := recalling(2 * mostKeepers)
			asks := asked[*wire.AskTime](b)
			for range silence / thawTick {
				b.pass(thawTick)
			}
			asks[mostKeepers+1](&wire.TimeKept{}, nil) // it is asked besides those that are told
			b.pass(thawTick)
			b.pass(thawTick)
			asks[0](&wire.TimeKept{Term: 5, Reading: 90_000}, nil)
			b.pass(thawTick)
			for _, answer := range asked[*wire.AskTime](b) { // its word may have been on its way for long
				answer(&wire.TimeKept{Term: 5, Reading: 90_000}, nil)
			}
			b.pass(200 * time.Millisecond)
			for _, answer := range asked[*wire.TellTime](b) {
				answer(&wire.TimeTold{}, nil)
			}
			So(b.place.host.IsOwner(), ShouldBeTrue)
			So(b.place.now(), ShouldBeGreaterThanOrEqualTo, 90_000)
			So(b.place.isUntimed.Load(), ShouldBeFalse)
		})
	}
}
