package sim

import (
	"fmt"
	"time"

	"caperwheel/internal/check"
	"caperwheel/internal/errs"
	"caperwheel/internal/place"
	"caperwheel/internal/wire"
)

// workBound is the pool's bound in the simulation, until that is changed.
const workBound = 2 * time.Second

// work is one run at a worker. It ends by itself, or, once its connection has
// broken under it, no later than a worker is bound to leave it.
//
// Invariant: run.End is set once, when the worker has really ended.
type work struct {
	a        *simAdapter
	life     int
	m        *wire.Run
	run      *check.Run
	bound    time.Duration
	isFailed bool
	isCut    bool // the answer does not come whole
	isOver   bool // at the worker
	isTold   bool // the adapter has delivered a result to its owner, or begun to
}

func (x *work) end() {
	if !x.isOver {
		x.isOver, x.run.End = true, x.a.w.now
		x.a.w.Note("worker ends %s/%d of %s.%d", x.m.Id, x.m.Attempt, x.a.name, x.life)
	}
}

// hangUp: the connection has broken; the worker goes on, but not for ever.
func (x *work) hangUp() {
	x.a.w.After(max(0, x.run.Start+place.OrphanedRunLimit(x.bound)-x.a.w.now), x.end)
}

// carry runs the message on the adapter's worker and delivers the result to its owner.
func (a *simAdapter) carry(m *wire.Run) {
	w := a.w
	bound := time.Duration(w.rules.RunTimeoutMs(m.Lane, m.Pool)) * time.Millisecond
	if !a.isFresh() || m.Key != "" && bound.Milliseconds() > m.Bound {
		a.deliverToOwner(m, &wire.Outcome{Id: m.Id, Boot: a.boot(), Kind: string(errs.Stale),
			Proof: wire.Proof{Attempt: m.Attempt, Worker: m.Worker, Answer: []byte{}}})
		return
	}
	token := string(m.Body)
	run := &check.Run{Token: token, Id: m.Id, Attempt: m.Attempt, Pool: m.Pool, Worker: m.Worker, Sum: m.Checksum, Adapter: a.name,
		Start: w.now, Status: 200, Answer: fmt.Sprint(token, "/", m.Attempt)}
	x := &work{a: a, life: a.life, m: m, run: run, bound: bound}
	took := time.Duration(10+w.Rand.IntN(200)) * time.Millisecond
	if w.Rand.IntN(1000) < w.Stall {
		took = time.Duration(500+w.Rand.IntN(6000)) * time.Millisecond
	}
	dice := w.Rand.IntN(1000)
	x.isFailed, x.isCut = dice < w.Unhealthy, dice >= w.Unhealthy && dice < w.Unhealthy+w.LoseAns
	if x.isFailed {
		run.Status = 500
	}
	w.Note("run %s/%d at %s, term %d, takes %v", m.Id, m.Attempt, a.boot(), m.Term, took)
	w.runs = append(w.runs, run)
	w.After(took, func() { x.end(); x.answer("") }) // whatever becomes of the adapter
	w.After(place.AnswerTimeout(m.Key != "", bound), func() { x.answer(errs.DeadlineExceeded) })
	if w.Rand.IntN(1000) < w.Break {
		w.After(time.Duration(w.Rand.Int64N(int64(took))), func() { x.answer(errs.Lost) })
	}
	a.breaks = append(a.breaks, x.hangUp)
}

// answer is what the adapter learns of its run: the worker's answer, if it was
// whole, or why there is none.
func (x *work) answer(kind errs.Kind) {
	a := x.a
	if x.isTold || !a.isUp || a.life != x.life {
		return
	}
	a.w.whenThawed(&a.lifecycle, func() {
		if x.isTold {
			return
		}
		x.isTold = true
		if kind == errs.DeadlineExceeded && x.isOver {
			kind = "" // it came while the adapter stood still
		}
		o := &wire.Outcome{Id: x.m.Id, Boot: a.boot(), MayHaveStarted: true,
			Proof: wire.Proof{Attempt: x.m.Attempt, Worker: x.m.Worker, Answer: []byte{}}}
		switch {
		case kind == errs.DeadlineExceeded: // whoever is merely waited for no longer does not notice
		case kind != "":
			x.hangUp()
		case x.isFailed:
			kind = errs.Unhealthy
		case x.isCut:
			kind = errs.Truncated
		default:
			x.run.IsWhole = true // only now has it been read
			o.Proof.Status, o.Proof.Checksum = 200, x.run.Answer
		}
		o.Kind = string(kind)
		o.Wait = int64(place.RemainingRunTime(kind, x.m.Key != "", x.bound, a.w.now-x.run.Start) / time.Millisecond)
		a.w.Note("read %s/%d at %s: %q", x.m.Id, x.m.Attempt, a.boot(), o.Kind)
		a.deliverToOwner(x.m, o)
	})
}
