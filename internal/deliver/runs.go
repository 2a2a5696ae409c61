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

// run is an open run.
//
// Invariant: it stays open from its acknowledgement until its result is durable at the place's owner, whichever store
// that becomes.
type run struct {
	wire.Run
	permit      *permit
	address     string
	identifier  string      // of the worker, if its name is not that
	isAttempted atomic.Bool // the worker was sent the request, or could not be reached
	isSent      atomic.Bool // the worker may have received the request
	isHealthy   atomic.Bool // the worker itself works, whatever it answered
}

// handleRun admits a run that a store sends, or refuses it.
func (a *Adapter) handleRun(m *wire.Run, answer func(any)) {
	r := &run{Run: *m}
	err := a.runs.Admit(m, a.d.Now())
	if err == nil {
		if r.permit, err = a.slots.redeem(m.Permit, m.Pool+"/"+m.Worker); err != nil {
			a.runs.Remove(m)
		}
	}
	if err == nil && a.isDraining.Load() { // after Admit: either Drain counts the run, or isDraining is seen here
		a.slots.releaseUnused(r.permit)
		a.runs.Remove(m)
		err = errs.New(errs.NotOwner, "run refused: this adapter is shutting down")
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

// execute delivers a run and reports its result to the owner. err is the reason why the run must not begin, if any.
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

// newOutcome returns the result of a run before anything is known of it.
func (a *Adapter) newOutcome(r *run) *wire.Outcome {
	return &wire.Outcome{Place: r.Place, Id: r.Id, Boot: a.d.Who.Boot, Proof: wire.Proof{Attempt: r.Attempt,
		Worker: r.Worker, Adapter: a.d.Who.Name, Answer: []byte{}}}
}

// notStartedOutcome returns the result of a run that was not sent to its worker.
func (a *Adapter) notStartedOutcome(r *run, cause error) *wire.Outcome {
	o := a.newOutcome(r)
	o.Kind, o.Wait = string(errs.KindOf(cause)), a.d.Bounds.Of(timing.SlotRequestHold).Milliseconds()
	return o
}

// deliver sends a run to its worker and returns its result. It also records the result in the worker's health, where an
// unreachable worker counts as a failing one.
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

// isWorkerHealthy reports whether a run says that its worker is healthy. An answer that blames the message does not
// count against the worker.
func isWorkerHealthy(err error, r *run, o *wire.Outcome) bool {
	return err == nil || o.Final || r.isHealthy.Load()
}

// reportToOwner sends the result to the place's owner until one has made it durable. Before that it leaves a backup
// copy with the agent on this machine, which survives if this process is killed, and with a store of another zone,
// which survives the loss of this zone. If the first attempt finds no owner, every store gets a copy.
func (a *Adapter) reportToOwner(ctx context.Context, r *run, o *wire.Outcome) {
	a.runs.SetStage(&r.Run, StageOwner, a.d.Now())
	backups := a.d.Settings.Seeds
	lane, isKnown := a.configs.Current().Rules.Lanes[r.Lane]
	isBackedUp := lane.UsesWitness || !isKnown
	if isBackedUp && (o.MayHaveStarted || o.Kind == "") {
		a.sendBackup(backups, o, repair.StepLeave)
		backups = append(slices.Clone(backups), a.backUpInOtherZone(o)...)
	}
	for attempt := 0; ctx.Err() == nil; attempt++ {
		attemptCtx, cancel := timing.Within(ctx, a.d.Bounds.Of(timing.SettleTimeout))
		_, err := a.ownerClient.CallOwner(attemptCtx, wire.FirstPlaceGroup+r.Place, o, repair.ParseAck)
		cancel()
		if err == nil {
			break
		}
		if attempt == 0 && isBackedUp {
			stores := []string{}
			for _, who := range a.d.Membership.OfKind("store") {
				stores = append(stores, who.Addr)
			}
			a.sendBackup(stores, o, repair.StepLeave)
		}
	}
	if isBackedUp {
		a.sendBackup(backups, o, repair.StepForget)
	}
	a.runs.Remove(&r.Run)
}

// backUpInOtherZone leaves a copy of the result with the first reachable store of another zone, in the rank order of
// the message id, and returns that store's address.
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

// sendBackup stores or removes backup copies of a result, and reports whether the request could be sent to all
// addresses. Replies are not awaited: a lost copy only weakens the protection against a crash of this adapter.
func (a *Adapter) sendBackup(addrs []string, o *wire.Outcome, step string) bool {
	backup, isSent := *o, true
	backup.Step = step
	for _, addr := range addrs {
		isSent = a.environment.Post(wire.PlaceLink, addr, &backup, nil) == nil && isSent
	}
	return isSent
}
