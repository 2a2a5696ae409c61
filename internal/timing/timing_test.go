package timing

import (
	"context"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

func TestRatiosStopADaemonInTime(t *testing.T) {
	Convey("A daemon that receives nothing more stops before the bound has passed", t, func() {
		So(int(ViewAgeLimit+3*Poll), ShouldBeLessThan, 1000)
	})
	Convey("A duty's fence is no shorter than the time for which a stale holder may go on", t, func() {
		So(int(Fence), ShouldBeGreaterThanOrEqualTo, int(ViewAgeLimit))
	})
}

// TestPatience guards against a frozen adapter timing out its runs when it resumes, although their answers have
// arrived, so that the messages are run again.
func TestPatience(t *testing.T) {
	Convey("Given a bound of one second", t, func() {
		var next func()
		spans := time.Duration(0)
		after := func(d time.Duration, work func()) { next, spans = work, spans+d }
		ctx, cancel := withRunningTimeout(context.Background(), time.Second, after)
		defer cancel()
		Convey("it ends when the process has run for that long", func() {
			for range timeoutSlices - 1 {
				next()
				So(ctx.Err(), ShouldBeNil)
			}
			next()
			So(context.Cause(ctx), ShouldEqual, context.DeadlineExceeded)
			So(spans, ShouldEqual, time.Second)
		})
		Convey("a freeze, however long, counts as one slice and does not end it", func() {
			next()
			So(ctx.Err(), ShouldBeNil)
		})
		Convey("it ends when it is cancelled", func() {
			cancel()
			So(context.Cause(ctx), ShouldEqual, context.Canceled)
		})
	})
}
