package deliver

import (
	"math"
	"time"
)

// limit is how many runs at once the worker gets now.
func (w *Worker) limit(now time.Duration) int64 {
	if w.state == Unhealthy {
		return 1
	}
	warm := 1 + math.Floor(float64(w.pool.Concurrency-1)*w.warmth(now))
	return max(1, int64(min(warm, w.ceiling)))
}

// ahead is how many slots are granted beyond the runs that the worker may have at once: as
// many as it ends while the run for a granted slot is committed and on its way here. Without
// them a worker with short runs stands idle from each grant until its run arrives. Where a
// rate decides, none are needed.
func (w *Worker) ahead(limit int64, now time.Duration) int64 {
	if w.state != Healthy || w.micros == 0 || w.rate(now) > 0 || w.allowance != nil {
		return 0
	}
	return min(limit, int64(math.Ceil(float64(limit)*w.lead/w.micros)))
}

// Arrived notes how long after its slot's grant a run has come.
func (w *Worker) Arrived(lead time.Duration) {
	w.lead += (float64(lead.Microseconds()) - w.lead) * smooth
}

// Begin has a run that has arrived begin, or reports that the worker has as many at once
// as it may.
func (w *Worker) Begin(now time.Duration) bool {
	if w.atWork >= w.limit(now) {
		return false
	}
	w.atWork++
	return true
}

// Withdraw undoes Begin for a run that was not sent, and gives its slot back.
func (w *Worker) Withdraw(now time.Duration) {
	w.atWork = max(0, w.atWork-1)
	w.Release(now)
}
