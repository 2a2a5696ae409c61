package place

import (
	"time"

	"caperwheel/internal/errs"
)

// What can be known of a run whose answer did not come whole: while its
// connection stands, the worker may be at it; once the connection has broken,
// the worker is bound to have left it brokenBounds pool bounds after its start.
// On an ordered lane nothing of the key begins before that.
const (
	standingBounds = 10 // an ordered run's answer is waited for so many bounds
	brokenBounds   = 2
)

// Wait is how long a run's answer is waited for.
func Wait(isOrdered bool, bound time.Duration) time.Duration {
	if isOrdered {
		return standingBounds * bound
	}
	return bound
}

// Busy is how long an ordered run may go on at its worker after its adapter
// or its connection is lost, counted from its start.
func Busy(bound time.Duration) time.Duration { return brokenBounds * bound }

// StillBusy is how long a run that ended with an error may yet go on at its
// worker, took after it was sent.
func StillBusy(kind errs.Kind, isOrdered bool, bound, took time.Duration) time.Duration {
	if !isOrdered || !MayGoOn(kind) {
		return 0
	}
	return max(0, Busy(bound)-took)
}

// MayGoOn: after these errors the worker may still be at the run.
func MayGoOn(kind errs.Kind) bool {
	return kind == errs.Lost || kind == errs.DeadlineExceeded || kind == errs.Truncated
}
