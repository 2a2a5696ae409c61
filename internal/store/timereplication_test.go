package store

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"caperwheel/internal/timing"
	"caperwheel/internal/wire"
)

// TestTimeIsTold: an owner tells its time to adapters once in their lives, and to no more than a few.
func TestTimeIsTold(t *testing.T) {
	span := timing.Default.Of(timing.TimeCommitInterval)
	Convey("An owner tells its place's time", t, func() {
		b := recoveringHarness(maxTimeHolders + 3)
		asks := takeReplies[*wire.AskTime](b)
		asks[0](&wire.TimeKept{Term: 5, Reading: 9000}, nil)
		b.advance(timing.Default.Of(timing.TimeQueryGrace))
		told := takeReplies[*wire.TellTime](b)
		So(told, ShouldHaveLength, maxTimeHolders)
		So(b.proposed, ShouldBeEmpty)
		for _, answer := range told[1:] {
			answer(&wire.TimeTold{}, nil)
		}
		Convey("again to those that have not said that they keep it", func() {
			b.advance(span / 2)
			So(takeReplies[*wire.TellTime](b), ShouldBeEmpty)
			b.advance(span)
			again := takeReplies[*wire.TellTime](b)
			So(again, ShouldHaveLength, 1)
			again[0](&wire.TimeTold{}, nil)
			b.advance(span)
			So(takeReplies[*wire.TellTime](b), ShouldBeEmpty)
		})
		Convey("again to one that answers late, since it may have heard the word late", func() {
			b.advance(timing.Default.Of(timing.TimeQueryTimeout) + time.Millisecond)
			So(takeReplies[*wire.TellTime](b), ShouldBeEmpty)
			told[0](&wire.TimeTold{}, nil)
			b.advance(0)
			again := takeReplies[*wire.TellTime](b)
			So(again, ShouldHaveLength, 1)
			again[0](&wire.TimeTold{}, nil)
			b.advance(span)
			So(takeReplies[*wire.TellTime](b), ShouldBeEmpty)
		})
		Convey("to another life of one", func() {
			told[0](&wire.TimeTold{}, nil)
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
