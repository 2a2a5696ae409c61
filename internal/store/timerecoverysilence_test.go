package store

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"caperwheel/internal/wire"
)

// recoveryTick is the interval at which the tests call Tick.
const recoveryTick = 30 * time.Millisecond

// TestRecallAfterSilence guards against losing the time of an outage: after all adapters were silent, the first to
// answer did not know the time, and the place went on without it although an adapter that knew it answered a moment
// later.
func TestRecallAfterSilence(t *testing.T) {
	for _, silence := range []time.Duration{time.Second, 4 * time.Second, 6 * time.Second} {
		Convey("After adapters were silent for "+silence.String(), t, func() {
			b := recoveringHarness(2 * maxTimeHolders)
			replies := takeReplies[*wire.AskTime](b)
			for range silence / recoveryTick {
				b.advance(recoveryTick)
			}
			replies[maxTimeHolders+1](&wire.TimeKept{}, nil) // it is queried in addition to those that store the time
			b.advance(recoveryTick)
			b.advance(recoveryTick)
			replies[0](&wire.TimeKept{Term: 5, Reading: 90_000}, nil)
			b.advance(recoveryTick)
			for _, answer := range takeReplies[*wire.AskTime](b) { // the reading may have been long in transit
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
