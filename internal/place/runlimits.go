package place

import (
	"time"

	"caperwheel/internal/errs"
)

// Limits of a run without a complete answer, in multiples of its pool's bound. While the connection is up, the worker
// may still be executing the run. Once the connection is broken, the worker must have stopped by disconnectedBounds
// after the start of the run. On an ordered lane no other message of the key starts before that.
const (
	connectedBounds    = 10 // how long the answer of an ordered run is waited for
	disconnectedBounds = 2
)

// AnswerTimeout returns how long the answer of a run is waited for.
func AnswerTimeout(isOrdered bool, bound time.Duration) time.Duration {
	if isOrdered {
		return connectedBounds * bound
	}
	return bound
}

// OrphanedRunLimit returns how long after its start an ordered run may still be executing at its worker if its adapter
// or its connection is lost.
func OrphanedRunLimit(bound time.Duration) time.Duration { return disconnectedBounds * bound }

// RemainingRunTime returns how much longer a run that ended with an error may still be executing at its worker; took is
// the time since it was sent.
func RemainingRunTime(kind errs.Kind, isOrdered bool, bound, took time.Duration) time.Duration {
	if !isOrdered || !MayStillRun(kind) {
		return 0
	}
	return max(0, OrphanedRunLimit(bound)-took)
}

// MayStillRun reports whether the worker may still be executing a run that ended with an error of this kind.
func MayStillRun(kind errs.Kind) bool {
	return kind == errs.Lost || kind == errs.DeadlineExceeded || kind == errs.Truncated
}
