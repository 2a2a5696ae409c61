package deliver

import (
	"cmp"
	"context"
	"slices"
	"sync/atomic"
	"time"

	"caperwheel/internal/duty"
	"caperwheel/internal/errs"
	"caperwheel/internal/pipeline"
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
	permit      *permit
	address     string
	identifier  string      // of the worker, where its name does not say it
	isAttempted atomic.Bool // the worker was asked, or could not be
	isSent      atomic.Bool // the worker may have seen it
	isHealthy   atomic.Bool // the worker is well, whatever it answered
}

// handleRun takes a run from a store into hand, or tells that it never starts.
func (a *Adapter) handleRun(m *wire.Run, answer func(any)) {
	r := &run{Run: *m}
	err := a.runs.Admit(m, a.d.Now())
	if err == nil {
		if r.permit, err = a.slots.redeem(m.Permit, m.Pool+"/"+m.Worker); err != nil {
			a.runs.Remove(m)
		}
	}
	if err == nil && a.isLeaving.Load() { // looked at after the book has it: Drain counts it or we see that we leave
		a.slots.releaseUnused(r.permit)
		a.runs.Remove(m)
		err = errs.New(errs.NotOwner, "this adapter is leaving")
	}
	if err != nil {
		answer(&wire.RunAck{Kind: string(errs.KindOf(err))})
		return
	}
	answer(&wire.RunAck{})
	a.slots.startWhenFree(r.permit, func(err error) {
		a.environment.Run(func(ctx context.Context) { a.execute(ctx, r, err) })
	})
}

// execute brings a run whose turn has come through delivery and its result to the owner; err is why
// it must not begin.
func (a *Adapter) execute(ctx context.Context, r *run, err error) {
	if err != nil {
		a.slots.releaseUnused(r.permit)
		a.reportToOwner(ctx, r, a.notStartedOutcome(r, err))
		return
	}
	a.runs.SetStage(&r.Run, StagePace, a.d.Now())
	timing.Wait(ctx, a.slots.pacingDelay(r.permit))
	a.runs.SetStage(&r.Run, StageWork, a.d.Now())
	a.reportToOwner(ctx, r, a.deliver(ctx, r))
}

// newOutcome gives the result of a run, of which nothing is known yet.
func (a *Adapter) newOutcome(r *run) *wire.Outcome {
	return &wire.Outcome{Place: r.Place, Id: r.Id, Boot: a.d.Who.Boot, Proof: wire.Proof{Attempt: r.Attempt,
		Worker: r.Worker, Adapter: a.d.Who.Name, Answer: []byte{}}}
}

// notStartedOutcome is the result of a run that its worker never saw.
func (a *Adapter) notStartedOutcome(r *run, cause error) *wire.Outcome {
	o := a.newOutcome(r)
	o.Kind, o.Wait = string(errs.KindOf(cause)), a.d.Bounds.Of(timing.SlotRequestHold).Milliseconds()
	return o
}

// deliver runs it and tells what came of it, also to whoever watches the worker:
// one that cannot be reached is as unhealthy as one that fails.
func (a *Adapter) deliver(ctx context.Context, r *run) *wire.Outcome {
	o := a.newOutcome(r)
	rules, began := a.configs.Current().Rules, a.d.Now()
	err := pipeline.Run(a.programs.Delivery(rules, r.Lane), a.actions, &delivery{ctx: ctx, run: r, outcome: o, rules: rules})
	took := a.d.Now() - began
	if r.isAttempted.Load() {
		a.slots.finish(r.permit, isWorkerHealthy(err, r, o), took)
	} else {
		a.slots.withdraw(r.permit)
	}
	if err == nil {
		return o
	}
	o.Kind, o.MayHaveStarted = string(errs.KindOf(err)), r.isSent.Load()
	if pool := rules.Pools[r.Pool]; o.MayHaveStarted && !pool.AllowsDuplicateRuns {
		busy := place.RemainingRunTime(errs.KindOf(err), r.Key != "", time.Duration(r.Bound)*time.Millisecond, took)
		o.Wait = max(o.Wait, int64(busy/time.Millisecond))
	} else if !o.MayHaveStarted {
		o.Wait = max(o.Wait, int64(a.d.Bounds.Of(timing.SlotRequestHold)/time.Millisecond))
	}
	return o
}

// isWorkerHealthy: an answer that blames the message says nothing bad of the
// worker.
func isWorkerHealthy(err error, r *run, o *wire.Outcome) bool {
	return err == nil || o.Final || r.isHealthy.Load()
}

// reportToOwner sends the result to the place's owner until one has made it
// durable. Before that it leaves the result with the agent beside it, which
// lives on should this process be killed, and with a store of another zone,
// which lives on should this one be lost whole; when no owner is found it
// leaves it with every store.
func (a *Adapter) reportToOwner(ctx context.Context, r *run, o *wire.Outcome) {
	a.runs.SetStage(&r.Run, StageOwner, a.d.Now())
	backups := a.d.Settings.Seeds
	lane, isKnown := a.configs.Current().Rules.Lanes[r.Lane]
	isWitnessed := lane.UsesWitness || !isKnown
	if isWitnessed && (o.MayHaveStarted || o.Kind == "") {
		a.sendBackup(backups, o, repair.StepLeave)
		backups = append(slices.Clone(backups), a.backUpInOtherZone(o)...)
	}
	for turn := 0; ctx.Err() == nil; turn++ {
		bounded, cancel := timing.Within(ctx, a.d.Bounds.Of(timing.SettleTimeout))
		_, err := a.ownerClient.CallOwner(bounded, wire.FirstPlaceGroup+r.Place, o, repair.ParseAck)
		cancel()
		if err == nil {
			break
		}
		if turn == 0 && isWitnessed {
			stores := []string{}
			for _, who := range a.d.Membership.OfKind("store") {
				stores = append(stores, who.Addr)
			}
			a.sendBackup(stores, o, repair.StepLeave)
		}
	}
	if isWitnessed {
		a.sendBackup(backups, o, repair.StepForget)
	}
	a.runs.Remove(&r.Run)
}

// backUpInOtherZone leaves the result with the first store of another zone that can be
// told, in the order of their claims to its id, and gives that store's address.
func (a *Adapter) backUpInOtherZone(o *wire.Outcome) []string {
	stores := slices.DeleteFunc(a.d.Membership.OfKind("store"), func(who wire.Who) bool { return who.Zone == a.d.Who.Zone })
	slices.SortFunc(stores, func(x, y wire.Who) int { return cmp.Compare(duty.Rank(o.Id, x.Name), duty.Rank(o.Id, y.Name)) })
	for _, who := range stores {
		if a.sendBackup([]string{who.Addr}, o, repair.StepLeave) {
			return []string{who.Addr}
		}
	}
	return nil
}

// leave gives a result into keeping, or takes it out again, and tells whether
// all could be told. What is lost on the way costs nothing but the safety net.
func (a *Adapter) sendBackup(addrs []string, o *wire.Outcome, step string) bool {
	kept, isTold := *o, true
	kept.Step = step
	for _, addr := range addrs {
		isTold = a.environment.Post(wire.PlaceLink, addr, &kept, nil) == nil && isTold
	}
	return isTold
}
