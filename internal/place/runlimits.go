package place

import (
	"time"

	"caperwheel/internal/errs"
)

// What can be known of a run whose answer did not come whole: while its
// connection stands, the worker may be at it; once the connection has broken,
// the worker is bound to have left it disconnectedBounds pool bounds after its start.
// On an ordered lane nothing of the key begins before that.
const (
	connectedBounds    = 10 // an ordered run's answer is waited for so many bounds
	disconnectedBounds = 2
)

// Wait is how long a run's answer is waited for.
func AnswerTimeout(isOrdered bool, bound time.Duration) time.Duration {
	if isOrdered {
		return connectedBounds * bound
	}
	return bound
}

// OrphanedRunLimit is how long an ordered run may go on at its worker after its adapter
// or its connection is lost, counted from its start.
func OrphanedRunLimit(bound time.Duration) time.Duration { return disconnectedBounds * bound }

// RemainingRunTime is how long a run that ended with an error may yet go on at its
// worker, took after it was sent.
func RemainingRunTime(kind errs.Kind, isOrdered bool, bound, took time.Duration) time.Duration {
	if !isOrdered || !MayStillRun(kind) {
		return 0
	}
	return max(0, OrphanedRunLimit(bound)-took)
}

// MayStillRun: after these errors the worker may still be at the run.
func MayStillRun(kind errs.Kind) bool {
	return kind == errs.Lost || kind == errs.DeadlineExceeded || kind == errs.Truncated
}
