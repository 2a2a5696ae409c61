package timing

import (
	"context"
	"sync/atomic"
	"time"
)

// timeoutSlices is the number of timer slices that a timeout is divided into.
const timeoutSlices = 20

// WithRunningTimeout returns a context that ends once the process has been running for the bound. Time for which the
// process was frozen counts as one slice at most, so that an answer which arrived meanwhile is read instead of being
// given up.
//
// A context with a clock ends by that clock.
func WithRunningTimeout(parent context.Context, bound time.Duration) (context.Context, context.CancelFunc) {
	if clock, isGiven := parent.Value(clockKey{}).(Clock); isGiven {
		return clock.Within(parent, bound)
	}
	return withRunningTimeout(parent, bound, func(d time.Duration, work func()) { time.AfterFunc(d, work) })
}

// withRunningTimeout is WithRunningTimeout with the timer given as after.
func withRunningTimeout(parent context.Context, bound time.Duration, after func(time.Duration, func())) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancelCause(parent)
	var elapsed atomic.Int64
	var tick func()
	tick = func() {
		if ctx.Err() != nil {
			return
		}
		if elapsed.Add(1) >= timeoutSlices {
			cancel(context.DeadlineExceeded)
			return
		}
		after(bound/timeoutSlices, tick)
	}
	after(bound/timeoutSlices, tick)
	return ctx, func() { cancel(context.Canceled) }
}
