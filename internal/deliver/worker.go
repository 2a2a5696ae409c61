// Package deliver is an adapter's side towards workers and outside endpoints:
// it grants slots on the workers whose duty it holds, runs what stores send in
// granted slots, and brings results back until they are durable.
package deliver

import (
	"cmp"
	"math"
	"time"

	"caperwheel/internal/config"
)

// Health is the explicit state of a worker.
type Health string

// The states. A worker is easing while cold, and probed while unhealthy.
const (
	SlowStart Health = "easing"
	Healthy   Health = "sound"
	Unhealthy Health = "unsound"
)

// WorkerState is what the holder of a worker's duty knows of it. It is pure: the
// same calls at the same times give the same answers.
//
// Invariants: inUse counts granted slots not yet given back, and running those whose run
// has begun; no run begins that takes running past limit; tokens never pass burst, so an endpoint gets at most 5·rate+burst starts in any 5 s; since is
// when the state was entered.
type WorkerState struct {
	pool                config.Pool
	health              Health
	since               time.Duration
	fencedUntil         time.Duration // no slot before: the fence of a duty that changed hands
	inUse               int64
	running             int64
	tokens              float64
	refilledAt          time.Duration
	consecutiveFailures int // runs that failed one after another
	probeAt             time.Duration
	probeInterval       time.Duration // pause between probes; doubles
	lastStart           time.Duration // the newest start
	adaptiveLimit       float64       // runs at once, as the worker seems to bear
	runMicros           float64       // smoothed time of a sound run
	leadMicros          float64       // smoothed microseconds from a slot's grant to its run's arrival
	failureShare        float64       // smoothed share of failed runs
	isCold              bool          // the list says that it has just begun
	// What it shares with its service's other workers, whose rate its pool then does not have; nil for nothing.
	rateShare *RateShare
}

// Constants of a worker's health.
const (
	failuresToUnhealthy  = 3
	initialProbeInterval = 250 * time.Millisecond
	maxProbeInterval     = 4 * time.Second // where the pool does not say
	slowStartDoublings   = 8.0             // the start rate doubles so often while easing
	slowStartRate        = 2.0             // starts a second of a worker that is stone cold
	smoothing            = 0.1             // share of the newest observation in a smoothed one
)

// NewWorkerState takes a duty up. An endpoint's holder waits out the fence, during
// which the holder before may still act, and starts with an empty bucket.
func NewWorkerState(pool config.Pool, fence, now time.Duration) *WorkerState {
	w := &WorkerState{pool: pool, fencedUntil: now + fence, refilledAt: now + fence, adaptiveLimit: float64(pool.Concurrency)}
	w.setHealth(SlowStart, now+fence)
	return w
}

// enter is the one place where a worker changes its state.
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

// Configure takes the pool's settings and what the list says of the worker.
func (w *WorkerState) Configure(pool config.Pool, listed config.Worker) {
	if listed.Slots > 0 {
		pool.Concurrency = listed.Slots + (listed.Slots+1)/2 // some wait there, so that no slot stands idle between two runs
	}
	if w.adaptiveLimit == float64(w.pool.Concurrency) { // nothing has lowered it
		w.adaptiveLimit = float64(pool.Concurrency)
	}
	w.pool, w.isCold = pool, listed.IsCold
}

// SetRateShare has the worker's starts count against an allowance; nil for none.
func (w *WorkerState) SetRateShare(allowance *RateShare) {
	w.rateShare = allowance
	if allowance != nil {
		w.pool.Rate = 0
	}
}

// Health tells the worker's health.
func (w *WorkerState) Health() Health { return w.health }

// InUse reports how many slots are given.
func (w *WorkerState) InUse() int64 { return w.inUse }

// slowStartProgress goes from 0 for a cold worker to 1 once it has been eased in.
func (w *WorkerState) slowStartProgress(now time.Duration) float64 {
	if w.health == Healthy || w.pool.SlowStart <= 0 {
		return 1
	}
	return min(1, max(0, float64(now-w.since)/float64(w.pool.SlowStart)))
}

// recordRun moves the ceiling: down by half when the worker fails, up by one for
// each ceiling's worth of sound runs. It also smooths what is reported.
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

// Observations tells the smoothed time of a run, the share that failed, and
// whether the worker is only probed.
func (w *WorkerState) Observations() (micros, failureShare float64, isProbe bool) {
	return w.runMicros, w.failureShare, w.health == Unhealthy
}

// rate is how many starts a second it gets now; 0 means no cap.
func (w *WorkerState) rate(now time.Duration) float64 {
	rate := w.pool.Rate
	if w.health == SlowStart && w.slowStartProgress(now) < 1 {
		eased := slowStartRate * math.Exp2(slowStartDoublings*w.slowStartProgress(now))
		if rate == 0 || eased < rate {
			rate = eased
		}
	}
	if cap := w.pool.ColdRate; w.isCold && cap > 0 && (rate == 0 || cap < rate) {
		rate = cap
	}
	return rate
}

func (w *WorkerState) refill(now time.Duration) {
	rate := w.rate(now)
	if now > w.refilledAt {
		w.tokens = min(w.burst(rate), w.tokens+rate*(now-w.refilledAt).Seconds())
		w.refilledAt = now
	}
}

func (w *WorkerState) burst(rate float64) float64 { return max(1, rate/10) }

// Grant gives a slot, or tells how long to wait before asking again.
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

// fullRetryDelay is how long is waited for a slot of a worker that has as many runs as it may.
const fullRetryDelay = 5 * time.Millisecond

// RetryDelay returns how long it is, as far as is known, until a slot may be granted; 0 for now.
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

// Release gives a slot back that was never used; its token too.
func (w *WorkerState) Release(now time.Duration) {
	w.inUse = max(0, w.inUse-1)
	w.tokens = min(w.tokens+1, w.burst(w.pool.Rate))
	if w.rateShare != nil {
		w.rateShare.ReturnToken(now)
	}
}

// PacingDelay reports how long a run with a granted slot must still wait, so that slots
// granted earlier and used late do not bunch up at a capped endpoint.
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

// RunEnded takes a run's end in. isHealthy is false when the worker failed, not when
// it answered that the message is at fault.
func (w *WorkerState) RunEnded(isHealthy bool, took, now time.Duration) {
	w.inUse, w.running = max(0, w.inUse-1), max(0, w.running-1)
	w.recordRun(isHealthy, took)
	if isHealthy {
		w.consecutiveFailures = 0
		if w.health == Unhealthy {
			w.setHealth(SlowStart, now) // back, but cold
		}
		return
	}
	w.consecutiveFailures++
	if w.health == Unhealthy || w.consecutiveFailures >= failuresToUnhealthy {
		w.setHealth(Unhealthy, now)
	}
}
