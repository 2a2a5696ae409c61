package deliver

import (
	"math"
	"time"
)

// runLimit returns how many concurrent runs the worker gets now.
func (w *WorkerState) runLimit(now time.Duration) int64 {
	if w.health == Unhealthy {
		return 1
	}
	warm := 1 + math.Floor(float64(w.pool.Concurrency-1)*w.slowStartProgress(now))
	return max(1, int64(min(warm, w.adaptiveLimit)))
}

// slotsAhead returns how many slots are granted beyond the concurrent runs that the worker may have: as many runs as it
// ends while the run for a granted slot is being committed and sent to this adapter. Without them a worker with short
// runs idles from each grant until its run arrives. They are not needed where a rate limit applies.
func (w *WorkerState) slotsAhead(limit int64, now time.Duration) int64 {
	if w.health != Healthy || w.runMicros == 0 || w.rate(now) > 0 || w.rateShare != nil {
		return 0
	}
	return min(limit, int64(math.Ceil(float64(limit)*w.leadMicros/w.runMicros)))
}

// RecordLead records the time from a slot's grant to the arrival of its run.
func (w *WorkerState) RecordLead(lead time.Duration) {
	w.leadMicros += (float64(lead.Microseconds()) - w.leadMicros) * smoothing
}

// TryBegin counts an arrived run as running. It returns false if the worker has as many concurrent runs as it may.
func (w *WorkerState) TryBegin(now time.Duration) bool {
	if w.running >= w.runLimit(now) {
		return false
	}
	w.running++
	return true
}

// Withdraw undoes TryBegin for a run that was not sent, and gives its slot back.
func (w *WorkerState) Withdraw(now time.Duration) {
	w.running = max(0, w.running-1)
	w.Release(now)
}
