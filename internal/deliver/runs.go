package deliver

import (
	"cmp"
	"context"
	"slices"
	"sync/atomic"
	"time"

	"caperwheel/internal/duty"
	"caperwheel/internal/errs"
	"caperwheel/internal/path"
	"caperwheel/internal/place"
	"caperwheel/internal/repair"
	"caperwheel/internal/timing"
	"caperwheel/internal/wire"
)

// run is a run in hand.
//
// Invariant: it stays in hand from its acknowledgement until its result is
// durable at the place's owner, whoever that becomes.
type run struct {
	wire.Run
	permit     *permit
	address    string
	identifier string      // of the worker, where its name does not say it
	isTried    atomic.Bool // the worker was asked, or could not be
	isSent     atomic.Bool // the worker may have seen it
	isHealthy  atomic.Bool // the worker is well, whatever it answered
}

// start takes a run from a store into hand, or tells that it never starts.
func (a *Adapter) start(m *wire.Run, answer func(any)) {
	r := &run{Run: *m}
	err := a.book.Admit(m, a.d.Now())
	if err == nil {
		if r.permit, err = a.slots.use(m.Permit, m.Pool+"/"+m.Worker); err != nil {
			a.book.Forget(m)
		}
	}
	if err == nil && a.isLeaving.Load() { // looked at after the book has it: Drain counts it or we see that we leave
		a.slots.unused(r.permit)
		a.book.Forget(m)
		err = errs.New(errs.NotOwner, "this adapter is leaving")
	}
	if err != nil {
		answer(&wire.RunAck{Kind: string(errs.KindOf(err))})
		return
	}
	answer(&wire.RunAck{})
	a.slots.begin(r.permit, func(err error) {
		a.ports.Run(func(ctx context.Context) { a.carry(ctx, r, err) })
	})
}

// carry brings a run whose turn has come through delivery and its result to the owner; err is why
// it must not begin.
func (a *Adapter) carry(ctx context.Context, r *run, err error) {
	if err != nil {
		a.slots.unused(r.permit)
		a.deliverToOwner(ctx, r, a.notBegun(r, err))
		return
	}
	a.book.Enter(&r.Run, StagePace, a.d.Now())
	timing.Wait(ctx, a.slots.pace(r.permit))
	a.book.Enter(&r.Run, StageWork, a.d.Now())
	a.deliverToOwner(ctx, r, a.deliver(ctx, r))
}

// outcomeOf gives the result of a run, of which nothing is known yet.
func (a *Adapter) outcomeOf(r *run) *wire.Outcome {
	return &wire.Outcome{Place: r.Place, Id: r.Id, Boot: a.d.Who.Boot, Proof: wire.Proof{Attempt: r.Attempt,
		Worker: r.Worker, Adapter: a.d.Who.Name, Answer: []byte{}}}
}

// notBegun is the result of a run that its worker never saw.
func (a *Adapter) notBegun(r *run, cause error) *wire.Outcome {
	o := a.outcomeOf(r)
	o.Kind, o.Wait = string(errs.KindOf(cause)), a.d.Bounds.Of(timing.AskHold).Milliseconds()
	return o
}

// deliver runs it and tells what came of it, also to whoever watches the worker:
// one that cannot be reached is as unhealthy as one that fails.
func (a *Adapter) deliver(ctx context.Context, r *run) *wire.Outcome {
	o := a.outcomeOf(r)
	rules, began := a.configs.Current().Rules, a.d.Now()
	err := path.Run(a.programs.Delivery(rules, r.Lane), a.actions, &delivery{ctx: ctx, run: r, outcome: o, rules: rules})
	took := a.d.Now() - began
	if r.isTried.Load() {
		a.slots.done(r.permit, isWorkerHealthy(err, r, o), took)
	} else {
		a.slots.withdrawn(r.permit)
	}
	if err == nil {
		return o
	}
	o.Kind, o.Begun = string(errs.KindOf(err)), r.isSent.Load()
	if pool := rules.Pools[r.Pool]; o.Begun && !pool.Repeats {
		busy := place.StillBusy(errs.KindOf(err), r.Key != "", time.Duration(r.Bound)*time.Millisecond, took)
		o.Wait = max(o.Wait, int64(busy/time.Millisecond))
	} else if !o.Begun {
		o.Wait = max(o.Wait, int64(a.d.Bounds.Of(timing.AskHold)/time.Millisecond))
	}
	return o
}

// isWorkerHealthy: an answer that blames the message says nothing bad of the
// worker.
func isWorkerHealthy(err error, r *run, o *wire.Outcome) bool {
	return err == nil || o.Final || r.isHealthy.Load()
}

// deliverToOwner sends the result to the place's owner until one has made it
// durable. Before that it leaves the result with the agent beside it, which
// lives on should this process be killed, and with a store of another zone,
// which lives on should this one be lost whole; when no owner is found it
// leaves it with every store.
func (a *Adapter) deliverToOwner(ctx context.Context, r *run, o *wire.Outcome) {
	a.book.Enter(&r.Run, StageOwner, a.d.Now())
	keepers := a.d.Settings.Seeds
	lane, isKnown := a.configs.Current().Rules.Lanes[r.Lane]
	isWitnessed := lane.Witness || !isKnown
	if isWitnessed && (o.Begun || o.Kind == "") {
		a.leave(keepers, o, repair.StepLeave)
		keepers = append(slices.Clone(keepers), a.leaveInOtherZone(o)...)
	}
	for turn := 0; ctx.Err() == nil; turn++ {
		bounded, cancel := timing.Within(ctx, a.d.Bounds.Of(timing.SettleTimeout))
		_, err := a.reach.Group(bounded, wire.PlaceGroup+r.Place, o, repair.Acknowledged)
		cancel()
		if err == nil {
			break
		}
		if turn == 0 && isWitnessed {
			stores := []string{}
			for _, who := range a.d.Membership.Kind("store") {
				stores = append(stores, who.Addr)
			}
			a.leave(stores, o, repair.StepLeave)
		}
	}
	if isWitnessed {
		a.leave(keepers, o, repair.StepForget)
	}
	a.book.Forget(&r.Run)
}

// leaveInOtherZone leaves the result with the first store of another zone that can be
// told, in the order of their claims to its id, and gives that store's address.
func (a *Adapter) leaveInOtherZone(o *wire.Outcome) []string {
	stores := slices.DeleteFunc(a.d.Membership.Kind("store"), func(who wire.Who) bool { return who.Zone == a.d.Who.Zone })
	slices.SortFunc(stores, func(x, y wire.Who) int { return cmp.Compare(duty.Rank(o.Id, x.Name), duty.Rank(o.Id, y.Name)) })
	for _, who := range stores {
		if a.leave([]string{who.Addr}, o, repair.StepLeave) {
			return []string{who.Addr}
		}
	}
	return nil
}

// leave gives a result into keeping, or takes it out again, and tells whether
// all could be told. What is lost on the way costs nothing but the safety net.
func (a *Adapter) leave(addrs []string, o *wire.Outcome, step string) bool {
	kept, isTold := *o, true
	kept.Step = step
	for _, addr := range addrs {
		isTold = a.ports.Post(wire.PlaceLink, addr, &kept, nil) == nil && isTold
	}
	return isTold
}
