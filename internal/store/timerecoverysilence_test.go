package store

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"caperwheel/internal/wire"
)

const recoveryTick = 30 * time.Millisecond

// TestRecallAfterSilence guards against LOST: after a silence of all adapters the first that answered, which knew nothing, had a
// place go on without the time of the outage, though one that knew it answered a moment later.
func TestRecallAfterSilence(t *testing.T) {
	for _, silence := range []time.Duration{time.Second, 4 * time.Second, 6 * time.Second} {
		Convey("After adapters were silent for "+silence.String(), t, func() {
			b := recoveringHarness(2 * maxTimeHolders)
			asks := takeReplies[*wire.AskTime](b)
			for range silence / recoveryTick {
				b.advance(recoveryTick)
			}
			asks[maxTimeHolders+1](&wire.TimeKept{}, nil) // it is asked besides those that are told
			b.advance(recoveryTick)
			b.advance(recoveryTick)
			asks[0](&wire.TimeKept{Term: 5, Reading: 90_000}, nil)
			b.advance(recoveryTick)
			for _, answer := range takeReplies[*wire.AskTime](b) { // its word may have been on its way for long
				answer(&wire.TimeKept{Term: 5, Reading: 90_000}, nil)
			}
			b.advance(200 * time.Millisecond)
			for _, answer := range takeReplies[*wire.TellTime](b) {
				answer(&wire.TimeTold{}, nil)
			}
			So(b.place.host.IsOwner(), ShouldBeTrue)
			So(b.place.now(), ShouldBeGreaterThanOrEqualTo, 90_000)
			So(b.place.isTimeUnknown.Load(), ShouldBeFalse)
		})
	}
}
