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
	Easing    Health = "easing"
	Healthy   Health = "sound"
	Unhealthy Health = "unsound"
)

// Worker is what the holder of a worker's duty knows of it. It is pure: the
// same calls at the same times give the same answers.
//
// Invariants: inUse counts granted slots not yet given back, and atWork those whose run
// has begun; no run begins that takes atWork past limit; tokens never pass burst, so an endpoint gets at most 5·rate+burst starts in any 5 s; since is
// when the state was entered.
type Worker struct {
	pool    config.Pool
	state   Health
	since   time.Duration
	heldAt  time.Duration // no slot before: the fence of a duty that changed hands
	inUse   int64
	atWork  int64
	tokens  float64
	filled  time.Duration
	failed  int // runs that failed one after another
	probeAt time.Duration
	rest    time.Duration // pause between probes; doubles
	startAt time.Duration // the newest start
	ceiling float64       // runs at once, as the worker seems to bear
	micros  float64       // smoothed time of a sound run
	lead    float64       // smoothed microseconds from a slot's grant to its run's arrival
	misses  float64       // smoothed share of failed runs
	isCold  bool          // the list says that it has just begun
	// What it shares with its service's other workers, whose rate its pool then does not have; nil for nothing.
	allowance *Allowance
}

// Constants of a worker's health.
const (
	failsToUnhealthy = 3
	firstRest        = 250 * time.Millisecond
	mostRest         = 4 * time.Second // where the pool does not say
	easeDoublings    = 8.0             // the start rate doubles so often while easing
	easeRate         = 2.0             // starts a second of a worker that is stone cold
	smooth           = 0.1             // share of the newest observation in a smoothed one
)

// NewWorker takes a duty up. An endpoint's holder waits out the fence, during
// which the holder before may still act, and starts with an empty bucket.
func NewWorker(pool config.Pool, fence, now time.Duration) *Worker {
	w := &Worker{pool: pool, heldAt: now + fence, filled: now + fence, ceiling: float64(pool.Concurrency)}
	w.enter(Easing, now+fence)
	return w
}

// enter is the one place where a worker changes its state.
func (w *Worker) enter(state Health, now time.Duration) {
	if w.state == Unhealthy && state != Unhealthy {
		w.rest = 0
	}
	w.state, w.since = state, now
	if state == Easing {
		w.tokens = min(w.tokens, 1)
	}
	if state == Unhealthy {
		w.rest = min(max(firstRest, 2*w.rest), cmp.Or(w.pool.Rest, mostRest))
		w.probeAt = now + w.rest
	}
}

// Change takes the pool's settings and what the list says of the worker.
func (w *Worker) Change(pool config.Pool, listed config.Worker) {
	if listed.Slots > 0 {
		pool.Concurrency = listed.Slots + (listed.Slots+1)/2 // some wait there, so that no slot stands idle between two runs
	}
	if w.ceiling == float64(w.pool.Concurrency) { // nothing has lowered it
		w.ceiling = float64(pool.Concurrency)
	}
	w.pool, w.isCold = pool, listed.IsCold
}

// Share has the worker's starts count against an allowance; nil for none.
func (w *Worker) Share(allowance *Allowance) {
	w.allowance = allowance
	if allowance != nil {
		w.pool.Rate = 0
	}
}

// State tells the worker's health.
func (w *Worker) State() Health { return w.state }

// InUse reports how many slots are given.
func (w *Worker) InUse() int64 { return w.inUse }

// warmth goes from 0 for a cold worker to 1 once it has been eased in.
func (w *Worker) warmth(now time.Duration) float64 {
	if w.state == Healthy || w.pool.Ease <= 0 {
		return 1
	}
	return min(1, max(0, float64(now-w.since)/float64(w.pool.Ease)))
}

// observe moves the ceiling: down by half when the worker fails, up by one for
// each ceiling's worth of sound runs. It also smooths what is reported.
func (w *Worker) observe(isHealthy bool, took time.Duration) {
	if isHealthy {
		w.ceiling = min(float64(w.pool.Concurrency), w.ceiling+1/max(1, w.ceiling))
		w.misses -= w.misses * smooth
		if w.micros == 0 {
			w.micros = float64(took.Microseconds())
		}
		w.micros += (float64(took.Microseconds()) - w.micros) * smooth
		return
	}
	w.ceiling = max(1, w.ceiling/2)
	w.misses += (1 - w.misses) * smooth
}

// Observed tells the smoothed time of a run, the share that failed, and
// whether the worker is only probed.
func (w *Worker) Observed() (micros, misses float64, isProbe bool) {
	return w.micros, w.misses, w.state == Unhealthy
}

// rate is how many starts a second it gets now; 0 means no cap.
func (w *Worker) rate(now time.Duration) float64 {
	rate := w.pool.Rate
	if w.state == Easing && w.warmth(now) < 1 {
		eased := easeRate * math.Exp2(easeDoublings*w.warmth(now))
		if rate == 0 || eased < rate {
			rate = eased
		}
	}
	if cap := w.pool.ColdRate; w.isCold && cap > 0 && (rate == 0 || cap < rate) {
		rate = cap
	}
	return rate
}

func (w *Worker) fill(now time.Duration) {
	rate := w.rate(now)
	if now > w.filled {
		w.tokens = min(w.burst(rate), w.tokens+rate*(now-w.filled).Seconds())
		w.filled = now
	}
}

func (w *Worker) burst(rate float64) float64 { return max(1, rate/10) }

// Grant gives a slot, or tells how long to wait before asking again.
func (w *Worker) Grant(now time.Duration) (isGranted bool, wait time.Duration) {
	if wait := w.Wait(now); wait > 0 {
		return false, wait
	}
	if w.rate(now) > 0 {
		w.tokens--
	}
	if w.allowance != nil {
		w.allowance.Take()
	}
	w.inUse++
	return true, 0
}

// fullPause is how long is waited for a slot of a worker that has as many runs as it may.
const fullPause = 5 * time.Millisecond

// Wait returns how long it is, as far as is known, until a slot may be granted; 0 for now.
func (w *Worker) Wait(now time.Duration) time.Duration {
	if now < w.heldAt {
		return w.heldAt - now
	}
	if w.state == Easing && w.warmth(now) >= 1 {
		w.enter(Healthy, now)
	}
	if w.state == Unhealthy && now < w.probeAt {
		return w.probeAt - now
	}
	if limit := w.limit(now); w.inUse >= limit+w.ahead(limit, now) {
		return fullPause
	}
	rate := w.rate(now)
	w.fill(now)
	if rate > 0 && w.tokens < 1 {
		return max(1, time.Duration((1-w.tokens)/rate*float64(time.Second)))
	}
	if w.allowance != nil {
		return w.allowance.Wait(now)
	}
	return 0
}

// Release gives a slot back that was never used; its token too.
func (w *Worker) Release(now time.Duration) {
	w.inUse = max(0, w.inUse-1)
	w.tokens = min(w.tokens+1, w.burst(w.pool.Rate))
	if w.allowance != nil {
		w.allowance.GiveBack(now)
	}
}

// Pace reports how long a run with a granted slot must still wait, so that slots
// granted earlier and used late do not bunch up at a capped endpoint.
func (w *Worker) Pace(now time.Duration) time.Duration {
	if w.allowance != nil {
		return w.allowance.Pace(now)
	}
	if w.pool.Rate == 0 {
		return 0
	}
	at := max(now, w.startAt+paceGap(w.pool.Rate))
	w.startAt = at
	return at - now
}

// Done takes a run's end in. isHealthy is false when the worker failed, not when
// it answered that the message is at fault.
func (w *Worker) Done(isHealthy bool, took, now time.Duration) {
	w.inUse, w.atWork = max(0, w.inUse-1), max(0, w.atWork-1)
	w.observe(isHealthy, took)
	if isHealthy {
		w.failed = 0
		if w.state == Unhealthy {
			w.enter(Easing, now) // back, but cold
		}
		return
	}
	w.failed++
	if w.state == Unhealthy || w.failed >= failsToUnhealthy {
		w.enter(Unhealthy, now)
	}
}
