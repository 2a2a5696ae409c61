package deliver

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"caperwheel/internal/errs"
	"caperwheel/internal/timing"
	"caperwheel/internal/wire"
)

// burst starts notifications to one address and returns the numbers of those that went out, in order.
func burst(t *notificationLimiter, count int) (out *[]int, refused int) {
	out = &[]int{}
	for i := range count {
		if !t.start("a", func() { *out = append(*out, i) }) {
			refused++
		}
	}
	return out, refused
}

// TestTellBurst guards against notifications that are refused in a burst: all places of a store look for ended messages
// at the same moments, and of a burst of more than twelve notifications to one receiver a part was refused. Each
// refusal doubled a notification's backoff, so thousands were sent more than 5 s late although the receiver was idle
// nine tenths of the time.
func TestTellBurst(t *testing.T) {
	Convey("When five times as many notifications arrive at once as may be in flight to an address", t, func() {
		tellers := &notificationLimiter{}
		out, refused := burst(tellers, 5*maxNotificationsInFlight)
		Convey("none is refused, and no more are in flight than allowed", func() {
			So(refused, ShouldEqual, 0)
			So(len(*out), ShouldEqual, maxNotificationsInFlight)
		})
		Convey("each that finishes starts the one that has waited longest, and the entry is removed in the end", func() {
			for left := range 5 * maxNotificationsInFlight {
				tellers.finish("a")
				So(len(*out), ShouldEqual, min(5*maxNotificationsInFlight, maxNotificationsInFlight+left+1))
			}
			for i, word := range *out {
				So(word, ShouldEqual, i)
			}
			So(len(tellers.queues), ShouldEqual, 0)
		})
		Convey("another address is not affected", func() {
			isOut := false
			So(tellers.start("b", func() { isOut = true }), ShouldBeTrue)
			So(isOut, ShouldBeTrue)
		})
	})
	Convey("No more notifications are accepted than may be in flight and wait", t, func() {
		_, refused := burst(&notificationLimiter{}, maxNotificationsInFlight+maxNotificationsWaiting+3)
		So(refused, ShouldEqual, 3)
	})
	Convey("A notification that has waited for longer than the notification time-out is not sent", t, func() {
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

// TestTellSilent guards against notifications to an unresponsive receiver that each hold a goroutine until their
// time-out.
func TestTellSilent(t *testing.T) {
	Convey("To a receiver that left three notifications unanswered one is sent at a time, and twelve once it answers", t, func() {
		tellers := &notificationLimiter{}
		out, _ := burst(tellers, 3*maxNotificationsInFlight)
		So(len(*out), ShouldEqual, maxNotificationsInFlight)
		for range maxNotificationsInFlight + unansweredLimit - 1 { // as many have been sent once three are unanswered
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
