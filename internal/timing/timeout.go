package timing

import (
	"context"
	"sync/atomic"
	"time"
)

// timeoutSlices is into how many turns a bound is cut.
const timeoutSlices = 20

// WithRunningTimeout returns a context that ends once the process has been running for so
// long. Time for which the whole process stood still counts as one turn at
// most: an answer that came in meanwhile is read and not given up.
//
// A context with a clock of its own ends by that clock.
func WithRunningTimeout(parent context.Context, bound time.Duration) (context.Context, context.CancelFunc) {
	if clock, isGiven := parent.Value(clockKey{}).(Clock); isGiven {
		return clock.Within(parent, bound)
	}
	return withRunningTimeout(parent, bound, func(d time.Duration, work func()) { time.AfterFunc(d, work) })
}

func withRunningTimeout(parent context.Context, bound time.Duration, after func(time.Duration, func())) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancelCause(parent)
	var turns atomic.Int64
	var turn func()
	turn = func() {
		if ctx.Err() != nil {
			return
		}
		if turns.Add(1) >= timeoutSlices {
			cancel(context.DeadlineExceeded)
			return
		}
		after(bound/timeoutSlices, turn)
	}
	after(bound/timeoutSlices, turn)
	return ctx, func() { cancel(context.Canceled) }
}
