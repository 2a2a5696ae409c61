package sim

import (
	"fmt"
	"time"

	"caperwheel/internal/check"
	"caperwheel/internal/errs"
	"caperwheel/internal/place"
	"caperwheel/internal/wire"
)

// defaultRunTimeout is the pool's bound in the simulation, until that is changed.
const defaultRunTimeout = 2 * time.Second

// workerRun is one run at a worker. It ends by itself, or, once its connection has
// broken under it, no later than a worker is bound to leave it.
//
// Invariant: run.End is set once, when the worker has really ended.
type workerRun struct {
	adapter     *simAdapter
	generation  int
	message     *wire.Run
	run         *check.Run
	runTimeout  time.Duration
	isFailed    bool
	isTruncated bool // the answer does not come whole
	hasEnded    bool // at the worker
	isReported  bool // the adapter has delivered a result to its owner, or begun to
}

func (x *workerRun) end() {
	if !x.hasEnded {
		x.hasEnded, x.run.End = true, x.adapter.w.now
		x.adapter.w.Tracef("worker ends %s/%d of %s.%d", x.message.Id, x.message.Attempt, x.adapter.name, x.generation)
	}
}

// hangUp: the connection has broken; the worker goes on, but not for ever.
func (x *workerRun) disconnect() {
	x.adapter.w.After(max(0, x.run.Start+place.OrphanedRunLimit(x.runTimeout)-x.adapter.w.now), x.end)
}

// startRun runs the message on the adapter's worker and delivers the result to its owner.
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
	w.Tracef("run %s/%d at %s, term %d, takes %v", m.Id, m.Attempt, a.boot(), m.Term, duration)
	w.runs = append(w.runs, run)
	w.After(duration, func() { x.end(); x.reportOutcome("") }) // whatever becomes of the adapter
	w.After(place.AnswerTimeout(m.Key != "", runTimeout), func() { x.reportOutcome(errs.DeadlineExceeded) })
	if w.Rand.IntN(1000) < w.BrokenConnections {
		w.After(time.Duration(w.Rand.Int64N(int64(duration))), func() { x.reportOutcome(errs.Lost) })
	}
	a.onKill = append(a.onKill, x.disconnect)
}

// answer is what the adapter learns of its run: the worker's answer, if it was
// whole, or why there is none.
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
			kind = "" // it came while the adapter stood still
		}
		o := &wire.Outcome{Id: x.message.Id, Boot: a.boot(), MayHaveStarted: true,
			Proof: wire.Proof{Attempt: x.message.Attempt, Worker: x.message.Worker, Answer: []byte{}}}
		switch {
		case kind == errs.DeadlineExceeded: // whoever is merely waited for no longer does not notice
		case kind != "":
			x.disconnect()
		case x.isFailed:
			kind = errs.Unhealthy
		case x.isTruncated:
			kind = errs.Truncated
		default:
			x.run.IsAnswerComplete = true // only now has it been read
			o.Proof.Status, o.Proof.Checksum = 200, x.run.AnswerSum
		}
		o.Kind = string(kind)
		o.Wait = int64(place.RemainingRunTime(kind, x.message.Key != "", x.runTimeout, a.w.now-x.run.Start) / time.Millisecond)
		a.w.Tracef("read %s/%d at %s: %q", x.message.Id, x.message.Attempt, a.boot(), o.Kind)
		a.deliverToOwner(x.message, o)
	})
}
