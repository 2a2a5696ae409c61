package deliver

import (
	"context"
	"sync/atomic"
	"time"

	"caperwheel/internal/beat"
	"caperwheel/internal/mishap"
	"caperwheel/internal/path"
	"caperwheel/internal/store"
	"caperwheel/internal/wire"
)

// runKey names one run of one message.
type runKey struct {
	id      string
	attempt int64
}

// run is a run in hand.
//
// Invariant: it stays in hand from its acknowledgement until its result is
// durable at the place's owner, whoever that becomes.
type run struct {
	wire.Run
	worker  *Worker
	address string
	isSent  atomic.Bool // the worker may have seen it
}

// start takes a run from a store into hand, or tells that it never starts.
func (a *Adapter) start(m *wire.Run, answer func(any)) {
	key := m.Pool + "/" + m.Worker
	r := &run{Run: *m}
	err := a.admit(r)
	if err == nil {
		if r.worker, err = a.slots.use(m.Permit, key); err != nil {
			a.forget(r)
		}
	}
	if err != nil {
		answer(&wire.RunAck{Kind: string(mishap.KindOf(err))})
		return
	}
	answer(&wire.RunAck{})
	a.pool.Submit(func() { a.carry(r) })
}

// admit refuses what an older term sends, and what a newer owner was told
// would never run.
func (a *Adapter) admit(r *run) error {
	a.mu.Lock()
	defer a.mu.Unlock()
	key := runKey{r.Id, r.Attempt}
	switch {
	case r.Term < a.terms[r.Place]:
		return mishap.New(mishap.Stale, "term %d of place %d is over", r.Term, r.Place)
	case a.runs[key] != nil:
		return mishap.New(mishap.Conflict, "the run is in hand already")
	case a.never[key] != 0:
		return mishap.New(mishap.Rejected, "the run was given up")
	case len(a.runs) >= a.d.Settings.Most:
		return mishap.New(mishap.Full, "%d runs are in hand", len(a.runs))
	}
	a.terms[r.Place] = r.Term
	a.runs[key] = r
	return nil
}

func (a *Adapter) forget(r *run) {
	a.mu.Lock()
	defer a.mu.Unlock()
	delete(a.runs, runKey{r.Id, r.Attempt})
}

// open tells a new owner what became of a run. A run that is not in hand here
// never will be: the word given is kept.
func (a *Adapter) open(m *wire.Open) *wire.OpenAck {
	a.mu.Lock()
	defer a.mu.Unlock()
	if m.Term < a.terms[m.Place] {
		return &wire.OpenAck{Kind: string(mishap.Stale)}
	}
	a.terms[m.Place] = m.Term
	key := runKey{m.Id, m.Attempt}
	if a.runs[key] != nil {
		return &wire.OpenAck{State: "open"}
	}
	a.never[key] = a.d.Now()
	return &wire.OpenAck{State: "never"}
}

// carry brings a run through delivery and its result home.
func (a *Adapter) carry(r *run) {
	o := wire.Outcome{Place: r.Place, Id: r.Id, Boot: a.d.Who.Boot, Proof: wire.Proof{Attempt: r.Attempt,
		Worker: r.Worker, Adapter: a.d.Who.Name, Answer: []byte{}}}
	if wait := a.slots.pace(r.worker); wait > 0 {
		time.Sleep(wait)
	}
	lane, began := a.scenes.Now().Rules.Lanes[r.Lane], a.d.Now()
	err := path.Run(path.Delivery(lane), a.doers, &delivery{r, &o})
	if !r.isSent.Load() {
		a.slots.unused(r.worker)
	} else {
		a.slots.done(r.Pool+"/"+r.Worker, r.worker, isWorkerSound(err, &o), a.d.Now()-began)
	}
	if err != nil {
		o.Kind, o.Begun = string(mishap.KindOf(err)), r.isSent.Load()
		if !r.isSent.Load() {
			o.Wait = int64(a.d.Bounds.Of(beat.AskHold) / time.Millisecond)
		}
	}
	a.bringHome(r, &o)
}

// isWorkerSound: an answer that blames the message says nothing bad of the
// worker.
func isWorkerSound(err error, o *wire.Outcome) bool { return err == nil || o.Final }

// bringHome sends the result to the place's owner until one has made it
// durable. It is kept in memory only: see docs/delivery.md for what remains.
func (a *Adapter) bringHome(r *run, o *wire.Outcome) {
	for a.ctx.Err() == nil {
		ctx, cancel := context.WithTimeout(a.ctx, a.d.Bounds.Charter)
		_, err := a.reach.Group(ctx, store.PlaceGroup+r.Place, o, func(reply any) (bool, string) {
			ack, isAck := reply.(*wire.OutcomeAck)
			return isAck && ack.Kind == "", ack.Owner
		})
		cancel()
		if err == nil {
			break
		}
	}
	a.forget(r)
}
