package store

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"caperwheel/internal/timing"
	"caperwheel/internal/wire"
)

// TestTimeIsTold checks that an owner sends its time once to each incarnation of an adapter, and to a limited number
// of adapters.
func TestTimeIsTold(t *testing.T) {
	span := timing.Default.Of(timing.TimeCommitInterval)
	Convey("An owner sends its place's time", t, func() {
		b := recoveringHarness(maxTimeHolders + 3)
		replies := takeReplies[*wire.AskTime](b)
		replies[0](&wire.TimeKept{Term: 5, Reading: 9000}, nil)
		b.advance(timing.Default.Of(timing.TimeQueryGrace))
		timeReplies := takeReplies[*wire.TellTime](b)
		So(timeReplies, ShouldHaveLength, maxTimeHolders)
		So(b.proposed, ShouldBeEmpty)
		for _, answer := range timeReplies[1:] {
			answer(&wire.TimeTold{}, nil)
		}
		Convey("again to adapters that have not confirmed that they store it", func() {
			b.advance(span / 2)
			So(takeReplies[*wire.TellTime](b), ShouldBeEmpty)
			b.advance(span)
			again := takeReplies[*wire.TellTime](b)
			So(again, ShouldHaveLength, 1)
			again[0](&wire.TimeTold{}, nil)
			b.advance(span)
			So(takeReplies[*wire.TellTime](b), ShouldBeEmpty)
		})
		Convey("again to an adapter that answers late, since it may have received the time late", func() {
			b.advance(timing.Default.Of(timing.TimeQueryTimeout) + time.Millisecond)
			So(takeReplies[*wire.TellTime](b), ShouldBeEmpty)
			timeReplies[0](&wire.TimeTold{}, nil)
			b.advance(0)
			again := takeReplies[*wire.TellTime](b)
			So(again, ShouldHaveLength, 1)
			again[0](&wire.TimeTold{}, nil)
			b.advance(span)
			So(takeReplies[*wire.TellTime](b), ShouldBeEmpty)
		})
		Convey("to another incarnation of an adapter", func() {
			timeReplies[0](&wire.TimeTold{}, nil)
			for i := range b.adapters {
				b.adapters[i].Boot += "+"
			}
			b.advance(span)
			So(takeReplies[*wire.TellTime](b), ShouldHaveLength, maxTimeHolders)
		})
		Convey("and again as the owner in another term", func() {
			b.loseOwnership()
			b.advance(span)
			So(takeReplies[*wire.TellTime](b), ShouldBeEmpty)
			b.isFollower = false
			b.place.OwnershipChanged(true)
			takeReplies[*wire.AskTime](b)[0](&wire.TimeKept{Term: 5, Reading: 9000}, nil)
			b.advance(timing.Default.Of(timing.TimeQueryGrace))
			So(takeReplies[*wire.TellTime](b), ShouldHaveLength, maxTimeHolders)
		})
	})
}
