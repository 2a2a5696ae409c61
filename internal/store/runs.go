package store

import (
	"time"

	"caperwheel/internal/errs"
	"caperwheel/internal/place"
	"caperwheel/internal/timing"
	"caperwheel/internal/wire"
)

// SlotGrant is a slot on a worker that the worker's holder, an adapter, has granted.
type SlotGrant struct {
	Pool, Worker string
	Holder       wire.Who
	Permit       int64         // the number under which the holder grants the slot
	Until        time.Duration // the grant may be used until then
}

// Start starts the lane's next message in a granted slot. The start is committed before the run is sent to the
// adapter.
func (p *PlaceHost) Start(lane string, g SlotGrant) {
	now := p.environment.Now()
	if !p.host.IsOwner() || now > g.Until || !p.environment.IsFresh() {
		p.environment.Release(g)
		return
	}
	e := p.machine.Pick(lane, p.now())
	if e == nil {
		p.publishReady()
		p.environment.Release(g)
		return
	}
	if rules, isKnown := p.lane(lane); isKnown && rules.MaxAttempts > 0 && e.CountedAttempts >= rules.MaxAttempts {
		p.environment.Release(g) // its last run might still have been going on before; now it cannot
		p.propose(place.Command{Kind: place.CmdClose, Id: e.Id, Attempt: e.Attempt, State: string(place.Failed), Cause: e.Cause,
			HoldsKey: rules.HoldsAfterFailure, Retain: int64(rules.Retention / time.Millisecond)}, nil)
		return
	}
	countStart(e, p.now())
	attempt, bound := e.Attempt+1, p.environment.Compiled().Rules.RunTimeoutMs(lane, g.Pool)
	p.propose(place.Command{Kind: place.CmdStart, Id: e.Id, Attempt: attempt, Adapter: g.Holder.Name, Boot: g.Holder.Boot,
		Pool: g.Pool, Worker: g.Worker, Deadline: p.maxOrderedRunMs(e, bound)}, func(v place.Result, err error) {
		if err != nil || v.Kind != "" {
			p.environment.Release(g)
			p.machine.Unpick(e)
			return
		}
		p.sendRun(e, attempt, bound, g)
	})
}

// maxOrderedRunMs returns for how many milliseconds an ordered run may go on at its worker although its adapter or its
// connection is lost. The run begins within the bound on configuration changes, because by then its permit has expired
// and its adapter is stale, and the adapter allows it no more than the bound (in milliseconds) that it is sent with.
func (p *PlaceHost) maxOrderedRunMs(e *place.Message, bound int64) int64 {
	if !e.Ordered {
		return 0
	}
	limit := place.OrphanedRunLimit(time.Duration(bound) * time.Millisecond)
	return (p.environment.Bounds().ConfigApply + limit).Milliseconds()
}

// sendRun sends a started run to the adapter that granted the slot, with the bound that the start was committed with.
func (p *PlaceHost) sendRun(e *place.Message, attempt, bound int64, g SlotGrant) {
	run := &wire.Run{Place: p.number, Term: p.host.Term(), Id: e.Id, Attempt: attempt, Lane: e.Lane, Key: e.Key,
		Pool: g.Pool, Worker: g.Worker, ContentType: e.ContentType, Body: e.Body, Checksum: e.Checksum, Permit: g.Permit,
		Bound: bound, RequestHead: e.Head}
	err := p.environment.Post(g.Holder, run, func(reply any, err error) {
		ack, isAck := reply.(*wire.RunAck)
		if err != nil || !isAck {
			return // its state is unknown: Tick asks the adapter
		}
		_ = p.host.Do(func() {
			if ack.Kind == "" {
				p.confirmRun(e.Id, attempt)
			} else {
				p.undoStart(e.Id, attempt, ack.Kind)
			}
		})
	})
	if err != nil { // definitely not sent
		p.undoStart(e.Id, attempt, string(errs.KindOf(err)))
	}
}

// confirmRun records an adapter's confirmation of a run, which holds for the bound on configuration changes.
func (p *PlaceHost) confirmRun(id string, attempt int64) {
	if p.confirmed != nil {
		p.confirmed[id] = runConfirmation{attempt, p.environment.Now() + p.environment.Bounds().ConfigApply}
		delete(p.missingSince, id)
	}
}

// undoStart requeues a message whose run never began, which costs no attempt. If an older run has succeeded meanwhile,
// the command ends the message, so it carries the retention of the end, as each requeue command does.
func (p *PlaceHost) undoStart(id string, attempt int64, cause string) {
	command := place.Command{Kind: place.CmdRunFailed, Id: id, Attempt: attempt, Cause: cause,
		Deadline: int64(p.environment.Bounds().Of(timing.SlotRequestHold) / time.Millisecond)}
	if e := p.machine.Find(id); e != nil {
		lane, _ := laneOf(p.environment.Compiled().Rules, e.Lane, true)
		command.Retain = int64(lane.Retention / time.Millisecond)
	}
	p.propose(command, nil)
}

// Tick does the periodic work, most of which is the owner's.
func (p *PlaceHost) Tick(now time.Duration) {
	p.open.Store(int64(p.machine.CountRunning()))
	p.stepTimeRecovery(now)
	if !p.host.IsOwner() {
		return
	}
	p.replicateTime(now)
	p.answerWaiters(func(_ string, w waiter) bool { return now >= w.until })
	if !p.environment.IsFresh() {
		p.publishReady()
		return
	}
	p.commitTime(now)
	p.raiseLevel(now)
	at := p.now()
	// Each message is listed only once, so its lane must be known now. It is, since the view was fresh above.
	for _, e := range p.machine.TakeExpired(at) {
		lane, _ := laneOf(p.environment.Compiled().Rules, e.Lane, true)
		p.propose(place.Command{Kind: place.CmdClose, Id: e.Id, Attempt: e.Attempt, State: string(place.Expired), Cause: "patience",
			Retain: int64(lane.Retention / time.Millisecond)}, nil)
	}
	if now-p.trimmedAt > p.environment.Bounds().Of(timing.AnswerTimeout) {
		p.trimmedAt = now
		if ids := p.machine.TakeForgettable(at, trimBatchLimit); len(ids) > 0 {
			p.propose(place.Command{Kind: place.CmdTrim, Ids: ids}, nil)
		}
	}
	p.checkOpenRuns(now)
	p.sendChildren()
	p.notify(now)
	p.publishReady()
}

// sendChildren submits call-back messages to the places that they belong to.
func (p *PlaceHost) sendChildren() {
	for id, child := range p.machine.Outbox() {
		if p.sendingChildren[id] {
			continue
		}
		lane, isKnown := p.lane(child.Lane)
		if !isKnown {
			return
		}
		p.sendingChildren[id] = true
		take := &wire.Take{Place: p.environment.PlaceOf(id), Id: id, Lane: child.Lane, ContentType: child.ContentType, Body: child.Body,
			Checksum: child.Checksum, Deadline: int64(lane.Patience / time.Millisecond), Parent: child.Parent}
		p.environment.SubmitToPlace(take, func(isTaken bool) {
			_ = p.host.Do(func() {
				delete(p.sendingChildren, id)
				if isTaken && p.host.IsOwner() {
					p.propose(place.Command{Kind: place.CmdOutboxDelivered, Id: id}, nil)
				}
			})
		})
	}
}
