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
	span := timing.Default.Of(timing.TimeMark)
	Convey("An owner tells its place's time", t, func() {
		b := recalling(mostKeepers + 3)
		asks := asked[*wire.AskTime](b)
		asks[0](&wire.TimeKept{Term: 5, Reading: 9000}, nil)
		b.pass(timing.Default.Of(timing.RecallRest))
		told := asked[*wire.TellTime](b)
		So(told, ShouldHaveLength, mostKeepers)
		So(b.proposed, ShouldBeEmpty)
		for _, answer := range told[1:] {
			answer(&wire.TimeTold{}, nil)
		}
		Convey("again to those that have not said that they keep it", func() {
			b.pass(span / 2)
			So(asked[*wire.TellTime](b), ShouldBeEmpty)
			b.pass(span)
			again := asked[*wire.TellTime](b)
			So(again, ShouldHaveLength, 1)
			again[0](&wire.TimeTold{}, nil)
			b.pass(span)
			So(asked[*wire.TellTime](b), ShouldBeEmpty)
		})
		Convey("again to one that answers late, since it may have heard the word late", func() {
			b.pass(timing.Default.Of(timing.Recall) + time.Millisecond)
			So(asked[*wire.TellTime](b), ShouldBeEmpty)
			told[0](&wire.TimeTold{}, nil)
			b.pass(0)
			again := asked[*wire.TellTime](b)
			So(again, ShouldHaveLength, 1)
			again[0](&wire.TimeTold{}, nil)
			b.pass(span)
			So(asked[*wire.TellTime](b), ShouldBeEmpty)
		})
		Convey("to another life of one", func() {
			told[0](&wire.TimeTold{}, nil)
			for i := range b.adapters {
				b.adapters[i].Boot += "+"
			}
			b.pass(span)
			So(asked[*wire.TellTime](b), ShouldHaveLength, mostKeepers)
		})
		Convey("and again as the owner in another term", func() {
			b.lose()
			b.pass(span)
			So(asked[*wire.TellTime](b), ShouldBeEmpty)
			b.isFollower = false
			b.place.Owned(true)
			asked[*wire.AskTime](b)[0](&wire.TimeKept{Term: 5, Reading: 9000}, nil)
			b.pass(timing.Default.Of(timing.RecallRest))
			So(asked[*wire.TellTime](b), ShouldHaveLength, mostKeepers)
		})
	})
}
