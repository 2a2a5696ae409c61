package deliver

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"caperwheel/internal/errs"
	"caperwheel/internal/timing"
	"caperwheel/internal/wire"
)

// burst has words go to an address at once, and returns those that went out so far, in turn.
func burst(t *notificationLimiter, words int) (out *[]int, refused int) {
	out = &[]int{}
	for i := range words {
		if !t.start("a", func() { *out = append(*out, i) }) {
			refused++
		}
	}
	return out, refused
}

// TestTellBurst: all places of a store look for ends at the same moments, and a burst of more
// than twelve words to a receiver was refused in part. Each refusal doubled a word's rest, and
// thousands were told more than 5 s late though the receiver was idle nine tenths of the time.
func TestTellBurst(t *testing.T) {
	Convey("When five times as many words come at once as may be under way to an address", t, func() {
		tellers := &notificationLimiter{}
		out, refused := burst(tellers, 5*maxNotificationsInFlight)
		Convey("none is refused, and no more are under way than may be", func() {
			So(refused, ShouldEqual, 0)
			So(len(*out), ShouldEqual, maxNotificationsInFlight)
		})
		Convey("each that leaves lets the one go that has waited longest, and all are forgotten in the end", func() {
			for left := range 5 * maxNotificationsInFlight {
				tellers.finish("a")
				So(len(*out), ShouldEqual, min(5*maxNotificationsInFlight, maxNotificationsInFlight+left+1))
			}
			for i, word := range *out {
				So(word, ShouldEqual, i)
			}
			So(len(tellers.queues), ShouldEqual, 0)
		})
		Convey("another address has none of it", func() {
			isOut := false
			So(tellers.start("b", func() { isOut = true }), ShouldBeTrue)
			So(isOut, ShouldBeTrue)
		})
	})
	Convey("No more wait than are under way and may wait", t, func() {
		_, refused := burst(&notificationLimiter{}, maxNotificationsInFlight+maxNotificationsWaiting+3)
		So(refused, ShouldEqual, 3)
	})
	Convey("A word whose turn comes later than a receiver may take to answer is not told", t, func() {
		h := newDutyHolder("a")
		for range maxNotificationsInFlight {
			h.notificationLimiter.start("127.0.0.1:1", func() {})
		}
		told := make(chan *wire.Told, 1)
		h.handleTell(&wire.Tell{Id: "0-x", Url: "http://127.0.0.1:1/", State: "ended", Answer: []byte{}},
			func(reply any) { told <- reply.(*wire.Told) })
		h.clock.Store(int64(timing.Default.Of(timing.CallbackTimeout) + time.Millisecond))
		h.notificationLimiter.finish("127.0.0.1:1")
		So((<-told).Kind, ShouldEqual, string(errs.Full))
	})
}

// TestTellSilent guards against words that wait for a silent receiver's: each of them held a goroutine until it was given up.
func TestTellSilent(t *testing.T) {
	Convey("To a receiver that let three words go without an answer one goes at a time, and twelve once it answers", t, func() {
		tellers := &notificationLimiter{}
		out, _ := burst(tellers, 3*maxNotificationsInFlight)
		So(len(*out), ShouldEqual, maxNotificationsInFlight)
		for range maxNotificationsInFlight + unansweredLimit - 1 { // as many have gone out by the time that three had no answer
			tellers.recordReply("a", false)
			tellers.finish("a")
		}
		So(tellers.queues["a"].inFlight, ShouldEqual, 1)
		alone := len(*out)
		tellers.recordReply("a", false)
		tellers.finish("a")
		So(len(*out), ShouldEqual, alone+1)
		tellers.recordReply("a", true)
		tellers.finish("a")
		So(tellers.queues["a"].inFlight, ShouldEqual, maxNotificationsInFlight)
		for left := tellers.queues["a"]; left.inFlight > 0; {
			tellers.recordReply("a", true)
			tellers.finish("a")
		}
		So(len(*out), ShouldEqual, 3*maxNotificationsInFlight)
		So(len(tellers.queues), ShouldEqual, 0)
	})
}
