package store

import (
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"caperwheel/internal/wire"
)

// delayedAnswer is an adapter's answer that arrives at a moment.
type delayedAnswer struct {
	at     time.Duration
	answer func(any, error)
}

// TestLateAnswersAreNotAnsweredByAll guards against a load that amplifies itself: each late answer of one adapter had
// the time sent again to all adapters that had not answered yet.
func TestLateAnswersAreNotAnsweredByAll(t *testing.T) {
	Convey("The time is sent again to each of eight adapters that answer late no sooner than it answers, or after the commit interval", t, func() {
		b, random := recoveringHarness(maxTimeHolders), rand.New(rand.NewPCG(1, 2))
		takeReplies[*wire.AskTime](b)[0](&wire.TimeKept{Term: 5, Reading: 9000}, nil)
		queue, posts := []delayedAnswer{}, 0
		for range 20 * time.Second / recoveryTick {
			b.now += recoveryTick
			waiting := []delayedAnswer{}
			for _, late := range queue {
				if late.at > b.now {
					waiting = append(waiting, late)
					continue
				}
				late.answer(&wire.TimeTold{}, nil)
			}
			queue = waiting
			b.place.Tick(b.now)
			for i, ask := range b.posted {
				if _, isTell := ask.(*wire.TellTime); isTell {
					posts++
					late := time.Duration(320+random.IntN(580)) * time.Millisecond
					queue = append(queue, delayedAnswer{b.now + late, b.answers[i]})
				}
			}
			b.posted, b.answers, b.proposed = nil, nil, nil
		}
		So(posts, ShouldBeGreaterThan, maxTimeHolders)
		So(posts, ShouldBeLessThanOrEqualTo, maxTimeHolders*20*1000/320)
	})
}
