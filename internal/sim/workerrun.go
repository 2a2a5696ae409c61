package sim

import (
	"fmt"
	"time"

	"caperwheel/internal/check"
	"caperwheel/internal/errs"
	"caperwheel/internal/place"
	"caperwheel/internal/wire"
)

// defaultRunTimeout is the run time-out of the pool until a fault changes it.
const defaultRunTimeout = 2 * time.Second

// workerRun is one run at a worker. It ends by itself or, once its connection has broken, no later than the
// limit for orphaned runs.
//
// Invariant: run.End is set once, when the worker has really ended the run.
type workerRun struct {
	adapter     *simAdapter
	generation  int // of the adapter, when it started the run
	message     *wire.Run
	run         *check.Run
	runTimeout  time.Duration
	isFailed    bool // the worker answers with status 500
	isTruncated bool // the reply is incomplete
	hasEnded    bool // the worker has ended the run
	isReported  bool // the adapter has started to send a result to the owner
}

// end records that the worker has ended the run.
func (x *workerRun) end() {
	if !x.hasEnded {
		x.hasEnded, x.run.End = true, x.adapter.w.now
		x.adapter.w.Tracef("worker ended run %s/%d of %s.%d", x.message.Id, x.message.Attempt, x.adapter.name, x.generation)
	}
}

// disconnect handles a broken connection: the worker continues the run, but only up to
// place.OrphanedRunLimit.
func (x *workerRun) disconnect() {
	x.adapter.w.After(max(0, x.run.Start+place.OrphanedRunLimit(x.runTimeout)-x.adapter.w.now), x.end)
}

// startRun runs the message on the adapter's worker and sends the result to its owner.
func (a *simAdapter) startRun(m *wire.Run) {
	w := a.w
	runTimeout := time.Duration(w.rules.RunTimeoutMs(m.Lane, m.Pool)) * time.Millisecond
	if !a.isFresh() || m.Key != "" && runTimeout.Milliseconds() > m.Bound {
		a.deliverToOwner(m, &wire.Outcome{Id: m.Id, Boot: a.boot(), Kind: string(errs.Stale),
			Proof: wire.Proof{Attempt: m.Attempt, Worker: m.Worker, Answer: []byte{}}})
		return
	}
	token := string(m.Body)
	run := &check.Run{Token: token, Id: m.Id, Attempt: m.Attempt, Pool: m.Pool, Worker: m.Worker, BodySum: m.Checksum, Adapter: a.name,
		Start: w.now, Status: 200, AnswerSum: fmt.Sprint(token, "/", m.Attempt)}
	x := &workerRun{adapter: a, generation: a.generation, message: m, run: run, runTimeout: runTimeout}
	duration := time.Duration(10+w.Rand.IntN(200)) * time.Millisecond
	if w.Rand.IntN(1000) < w.StalledRuns {
		duration = time.Duration(500+w.Rand.IntN(6000)) * time.Millisecond
	}
	draw := w.Rand.IntN(1000)
	x.isFailed, x.isTruncated = draw < w.FailedRuns, draw >= w.FailedRuns && draw < w.FailedRuns+w.LostReplies
	if x.isFailed {
		run.Status = 500
	}
	w.Tracef("run %s/%d starts at %s, term %d, duration %v", m.Id, m.Attempt, a.boot(), m.Term, duration)
	w.runs = append(w.runs, run)
	w.After(duration, func() { x.end(); x.reportOutcome("") }) // also if the adapter has been killed meanwhile
	w.After(place.AnswerTimeout(m.Key != "", runTimeout), func() { x.reportOutcome(errs.DeadlineExceeded) })
	if w.Rand.IntN(1000) < w.BrokenConnections {
		w.After(time.Duration(w.Rand.Int64N(int64(duration))), func() { x.reportOutcome(errs.Lost) })
	}
	a.onKill = append(a.onKill, x.disconnect)
}

// reportOutcome handles the end of a run at the adapter: the worker's reply, if it was complete, or the
// reason why there is none.
func (x *workerRun) reportOutcome(kind errs.Kind) {
	a := x.adapter
	if x.isReported || !a.isUp || a.generation != x.generation {
		return
	}
	a.w.runWhenThawed(&a.lifecycle, func() {
		if x.isReported {
			return
		}
		x.isReported = true
		if kind == errs.DeadlineExceeded && x.hasEnded {
			kind = "" // the reply arrived while the adapter was frozen
		}
		o := &wire.Outcome{Id: x.message.Id, Boot: a.boot(), MayHaveStarted: true,
			Proof: wire.Proof{Attempt: x.message.Attempt, Worker: x.message.Worker, Answer: []byte{}}}
		switch {
		case kind == errs.DeadlineExceeded: // the adapter has only stopped waiting; the worker does not notice
		case kind != "":
			x.disconnect()
		case x.isFailed:
			kind = errs.Unhealthy
		case x.isTruncated:
			kind = errs.Truncated
		default:
			x.run.IsAnswerComplete = true // the reply counts only now that the adapter has read it
			o.Proof.Status, o.Proof.Checksum = 200, x.run.AnswerSum
		}
		o.Kind = string(kind)
		o.Wait = int64(place.RemainingRunTime(kind, x.message.Key != "", x.runTimeout, a.w.now-x.run.Start) / time.Millisecond)
		a.w.Tracef("result of run %s/%d at %s: kind %q", x.message.Id, x.message.Attempt, a.boot(), o.Kind)
		a.deliverToOwner(x.message, o)
	})
}
