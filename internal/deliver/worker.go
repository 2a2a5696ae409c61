package deliver

import (
	"cmp"
	"math"
	"time"

	"caperwheel/internal/config"
)

// Health is the health state of a worker.
type Health string

// The health states. A worker is in slow start while cold, and gets only probes while unhealthy.
const (
	SlowStart Health = "easing"
	Healthy   Health = "sound"
	Unhealthy Health = "unsound"
)

// WorkerState is what the holder of a worker's duty tracks of it: health, granted slots, rate limit and observed
// latency. It does no I/O and reads no clock: the same calls at the same times give the same results.
//
// Invariants: inUse counts granted slots not yet given back, running those whose run has begun; no run begins that
// takes running past runLimit; tokens never exceed burst, so an endpoint gets at most 5·rate+burst starts in any 5 s;
// since is when the health state was entered.
type WorkerState struct {
	pool                config.Pool
	health              Health
	since               time.Duration
	fencedUntil         time.Duration // no slot is granted before: end of the fence after a duty changed hands
	inUse               int64
	running             int64
	tokens              float64
	refilledAt          time.Duration
	consecutiveFailures int // failed runs in a row
	probeAt             time.Duration
	probeInterval       time.Duration // pause between probes; doubles up to a maximum
	lastStart           time.Duration // of the most recent run
	adaptiveLimit       float64       // concurrent runs that the worker seems to sustain
	runMicros           float64       // smoothed time of a successful run
	leadMicros          float64       // smoothed microseconds from a slot's grant to its run's arrival
	failureShare        float64       // smoothed share of failed runs
	isCold              bool          // the list says that it has just started
	// The rate share of the service, if its workers share one rate limit; pool.Rate is then 0. Otherwise nil.
	rateShare *RateShare
}

// Parameters of health checking and slow start.
const (
	failuresToUnhealthy  = 3
	initialProbeInterval = 250 * time.Millisecond
	maxProbeInterval     = 4 * time.Second // unless the pool sets one
	slowStartDoublings   = 8.0             // how often the start rate doubles during slow start
	slowStartRate        = 2.0             // starts per second of a fully cold worker
	smoothing            = 0.1             // weight of the newest observation in an exponential moving average
)

// NewWorkerState returns the state of a worker whose duty was just taken over. For an endpoint, no slot is granted
// during the fence, in which the previous holder may still act, and the token bucket starts empty.
func NewWorkerState(pool config.Pool, fence, now time.Duration) *WorkerState {
	w := &WorkerState{pool: pool, fencedUntil: now + fence, refilledAt: now + fence, adaptiveLimit: float64(pool.Concurrency)}
	w.setHealth(SlowStart, now+fence)
	return w
}

// setHealth is the only place where the health state changes.
func (w *WorkerState) setHealth(state Health, now time.Duration) {
	if w.health == Unhealthy && state != Unhealthy {
		w.probeInterval = 0
	}
	w.health, w.since = state, now
	if state == SlowStart {
		w.tokens = min(w.tokens, 1)
	}
	if state == Unhealthy {
		w.probeInterval = min(max(initialProbeInterval, 2*w.probeInterval), cmp.Or(w.pool.MaxProbeInterval, maxProbeInterval))
		w.probeAt = now + w.probeInterval
	}
}

// Configure applies the pool's settings and the worker's list entry.
func (w *WorkerState) Configure(pool config.Pool, listed config.Worker) {
	if listed.Slots > 0 {
		// Half as many again may queue at the worker, so that no slot idles between two runs.
		pool.Concurrency = listed.Slots + (listed.Slots+1)/2
	}
	if w.adaptiveLimit == float64(w.pool.Concurrency) { // no failure has lowered it
		w.adaptiveLimit = float64(pool.Concurrency)
	}
	w.pool, w.isCold = pool, listed.IsCold
}

// SetRateShare makes the worker's starts count against a rate share; nil for none.
func (w *WorkerState) SetRateShare(share *RateShare) {
	w.rateShare = share
	if share != nil {
		w.pool.Rate = 0
	}
}

// Health returns the worker's health state.
func (w *WorkerState) Health() Health { return w.health }

// InUse returns the number of granted slots.
func (w *WorkerState) InUse() int64 { return w.inUse }

// slowStartProgress rises from 0 for a cold worker to 1 at the end of slow start.
func (w *WorkerState) slowStartProgress(now time.Duration) float64 {
	if w.health == Healthy || w.pool.SlowStart <= 0 {
		return 1
	}
	return min(1, max(0, float64(now-w.since)/float64(w.pool.SlowStart)))
}

// recordRun adjusts adaptiveLimit: it is halved when the worker fails and raised by one per adaptiveLimit successful
// runs. It also updates the reported averages.
func (w *WorkerState) recordRun(isHealthy bool, took time.Duration) {
	if isHealthy {
		w.adaptiveLimit = min(float64(w.pool.Concurrency), w.adaptiveLimit+1/max(1, w.adaptiveLimit))
		w.failureShare -= w.failureShare * smoothing
		if w.runMicros == 0 {
			w.runMicros = float64(took.Microseconds())
		}
		w.runMicros += (float64(took.Microseconds()) - w.runMicros) * smoothing
		return
	}
	w.adaptiveLimit = max(1, w.adaptiveLimit/2)
	w.failureShare += (1 - w.failureShare) * smoothing
}

// Observations returns the smoothed time of a run, the smoothed share of failed runs, and whether the worker gets only
// probes.
func (w *WorkerState) Observations() (micros, failureShare float64, isProbe bool) {
	return w.runMicros, w.failureShare, w.health == Unhealthy
}

// rate returns how many starts per second the worker may get now; 0 means no limit.
func (w *WorkerState) rate(now time.Duration) float64 {
	rate := w.pool.Rate
	if w.health == SlowStart && w.slowStartProgress(now) < 1 {
		slowRate := slowStartRate * math.Exp2(slowStartDoublings*w.slowStartProgress(now))
		if rate == 0 || slowRate < rate {
			rate = slowRate
		}
	}
	if cap := w.pool.ColdRate; w.isCold && cap > 0 && (rate == 0 || cap < rate) {
		rate = cap
	}
	return rate
}

// refill adds the tokens earned since the last refill.
func (w *WorkerState) refill(now time.Duration) {
	rate := w.rate(now)
	if now > w.refilledAt {
		w.tokens = min(w.burst(rate), w.tokens+rate*(now-w.refilledAt).Seconds())
		w.refilledAt = now
	}
}

// burst returns the capacity of the token bucket.
func (w *WorkerState) burst(rate float64) float64 { return max(1, rate/10) }

// Grant grants a slot, or returns how long to wait before the next attempt.
func (w *WorkerState) Grant(now time.Duration) (isGranted bool, wait time.Duration) {
	if wait := w.Wait(now); wait > 0 {
		return false, wait
	}
	if w.rate(now) > 0 {
		w.tokens--
	}
	if w.rateShare != nil {
		w.rateShare.TakeToken()
	}
	w.inUse++
	return true, 0
}

// fullRetryDelay is the retry delay when a worker has as many runs as it may.
const fullRetryDelay = 5 * time.Millisecond

// Wait returns an estimate of how long it is until a slot may be granted; 0 means now.
func (w *WorkerState) Wait(now time.Duration) time.Duration {
	if now < w.fencedUntil {
		return w.fencedUntil - now
	}
	if w.health == SlowStart && w.slowStartProgress(now) >= 1 {
		w.setHealth(Healthy, now)
	}
	if w.health == Unhealthy && now < w.probeAt {
		return w.probeAt - now
	}
	if limit := w.runLimit(now); w.inUse >= limit+w.slotsAhead(limit, now) {
		return fullRetryDelay
	}
	rate := w.rate(now)
	w.refill(now)
	if rate > 0 && w.tokens < 1 {
		return max(1, time.Duration((1-w.tokens)/rate*float64(time.Second)))
	}
	if w.rateShare != nil {
		return w.rateShare.Wait(now)
	}
	return 0
}

// Release gives back a slot that was never used, and its token.
func (w *WorkerState) Release(now time.Duration) {
	w.inUse = max(0, w.inUse-1)
	w.tokens = min(w.tokens+1, w.burst(w.pool.Rate))
	if w.rateShare != nil {
		w.rateShare.ReturnToken(now)
	}
}

// PacingDelay returns how long a run with a granted slot must still wait before it starts, so that slots granted
// earlier and used late do not become a burst at a rate-limited endpoint.
func (w *WorkerState) PacingDelay(now time.Duration) time.Duration {
	if w.rateShare != nil {
		return w.rateShare.PacingDelay(now)
	}
	if w.pool.Rate == 0 {
		return 0
	}
	at := max(now, w.lastStart+paceGap(w.pool.Rate))
	w.lastStart = at
	return at - now
}

// RunEnded records the end of a run. isHealthy is false if the worker failed, and true if it answered that the message
// is at fault.
func (w *WorkerState) RunEnded(isHealthy bool, took, now time.Duration) {
	w.inUse, w.running = max(0, w.inUse-1), max(0, w.running-1)
	w.recordRun(isHealthy, took)
	if isHealthy {
		w.consecutiveFailures = 0
		if w.health == Unhealthy {
			w.setHealth(SlowStart, now) // it is back, but cold
		}
		return
	}
	w.consecutiveFailures++
	if w.health == Unhealthy || w.consecutiveFailures >= failuresToUnhealthy {
		w.setHealth(Unhealthy, now)
	}
}
