package store

import (
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"caperwheel/internal/wire"
)

// lateAnswer is an adapter's answer that comes at a moment.
type lateAnswer struct {
	at     time.Duration
	answer func(any, error)
}

// TestLateAnswersAreNotAnsweredByAll guards against a load that fed itself: each late answer of one adapter had the time sent again
// to all that had not answered yet.
func TestLateAnswersAreNotAnsweredByAll(t *testing.T) {
	Convey("Of eight adapters that answer late, each is told again no sooner than it answers, or the time is marked", t, func() {
		b, random := recalling(mostKeepers), rand.New(rand.NewPCG(1, 2))
		asked[*wire.AskTime](b)[0](&wire.TimeKept{Term: 5, Reading: 9000}, nil)
		queue, posts := []lateAnswer{}, 0
		for range 20 * time.Second / thawTick {
			b.now += thawTick
			waiting := []lateAnswer{}
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
					queue = append(queue, lateAnswer{b.now + late, b.answers[i]})
				}
			}
			b.posted, b.answers, b.proposed = nil, nil, nil
		}
		So(posts, ShouldBeGreaterThan, mostKeepers)
		So(posts, ShouldBeLessThanOrEqualTo, mostKeepers*20*1000/320)
	})
}
