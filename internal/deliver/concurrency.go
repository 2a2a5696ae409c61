package deliver

import (
	"math"
	"time"
)

// runLimit is how many runs at once the worker gets now.
func (w *WorkerState) runLimit(now time.Duration) int64 {
	if w.health == Unhealthy {
		return 1
	}
	warm := 1 + math.Floor(float64(w.pool.Concurrency-1)*w.slowStartProgress(now))
	return max(1, int64(min(warm, w.adaptiveLimit)))
}

// slotsAhead is how many slots are granted beyond the runs that the worker may have at once: as
// many as it ends while the run for a granted slot is committed and on its way here. Without
// them a worker with short runs stands idle from each grant until its run arrives. Where a
// rate decides, none are needed.
func (w *WorkerState) slotsAhead(limit int64, now time.Duration) int64 {
	if w.health != Healthy || w.runMicros == 0 || w.rate(now) > 0 || w.rateShare != nil {
		return 0
	}
	return min(limit, int64(math.Ceil(float64(limit)*w.leadMicros/w.runMicros)))
}

// RecordLead notes how long after its slot's grant a run has come.
func (w *WorkerState) RecordLead(lead time.Duration) {
	w.leadMicros += (float64(lead.Microseconds()) - w.leadMicros) * smoothing
}

// TryBegin has a run that has arrived begin, or reports that the worker has as many at once
// as it may.
func (w *WorkerState) TryBegin(now time.Duration) bool {
	if w.running >= w.runLimit(now) {
		return false
	}
	w.running++
	return true
}

// Withdraw undoes Begin for a run that was not sent, and gives its slot back.
func (w *WorkerState) Withdraw(now time.Duration) {
	w.running = max(0, w.running-1)
	w.Release(now)
}
