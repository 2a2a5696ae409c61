package store

import (
	"fmt"
	"hash/fnv"
	"time"

	"caperwheel/internal/config"
	"caperwheel/internal/errs"
	"caperwheel/internal/place"
	"caperwheel/internal/wire"
)

// Outcome commits a run's result and then acknowledges it.
func (p *PlaceHost) Outcome(o *wire.Outcome, answer func(any)) {
	if !p.host.IsOwner() {
		answer(&wire.OutcomeAck{Kind: string(errs.NotOwner), Owner: p.ownerName()})
		return
	}
	key := outcomeKey(o)
	if p.pending.join(key, answer) {
		return
	}
	e := p.machine.Find(o.Id)
	if e == nil {
		// Either the message ended and was forgotten long ago, or this owner has been replaced and never received the
		// message: only a commit can tell.
		e = &place.Message{Id: o.Id}
	}
	lane, isKnown := p.lane(e.Lane)
	if !isKnown {
		answer(&wire.OutcomeAck{Kind: string(errs.Stale)}) // its adapter keeps the result and sends it again
		return
	}
	answer = p.pending.begin(key, answer)
	p.propose(p.outcomeCommand(e, o, lane), func(_ place.Result, err error) {
		if err != nil {
			answer(&wire.OutcomeAck{Kind: string(errs.KindOf(err)), Owner: p.ownerName()})
			return
		}
		delete(p.confirmed, o.Id)
		delete(p.lostSince, o.Id)
		delete(p.missingSince, o.Id)
		answer(&wire.OutcomeAck{})
	})
}

// outcomeCommand returns the command for a result. A failure counts as the last attempt only while its run is open,
// since a result may arrive repeatedly and must count once.
func (p *PlaceHost) outcomeCommand(e *place.Message, o *wire.Outcome, lane config.Lane) place.Command {
	retain := int64(lane.Retention / time.Millisecond)
	if o.Kind == "" {
		c := place.Command{Kind: place.CmdRunSucceeded, Id: e.Id, Proof: o.Proof, Retain: retain, DropsBody: lane.DropsBodyOnSuccess}
		if lane.CallbackLane != "" {
			c.Child = place.Child{Id: p.environment.ChildId(e.Id), Lane: lane.CallbackLane, ContentType: o.Proof.ContentType, Body: o.Proof.Answer,
				Checksum: wire.Checksum(o.Proof.Answer), Parent: e.Id}
		}
		return c
	}
	isCounted := o.MayHaveStarted && (lane.CountsEveryRun || o.Kind == string(errs.Unhealthy))
	command := place.Command{Kind: place.CmdRunFailed, Id: e.Id, Attempt: o.Proof.Attempt, Cause: o.Kind, CountsAsAttempt: isCounted, Retain: retain}
	command.HoldsKey = o.MayHaveStarted && e.Ordered && o.Wait > 0 && place.MayStillRun(errs.Kind(o.Kind))
	// A repeated failure, of a run that was requeued before, does not count again.
	isOpen := e.State == place.Started && e.Attempt == o.Proof.Attempt
	isLast := isCounted && isOpen && lane.MaxAttempts > 0 && e.CountedAttempts+1 >= lane.MaxAttempts
	if o.MayHaveStarted && !command.HoldsKey && (o.Final || isLast) {
		command.Kind, command.State, command.HoldsKey = place.CmdClose, string(place.Failed), lane.HoldsAfterFailure
		return command
	}
	counted := e.CountedAttempts
	if isCounted {
		counted++
	}
	command.Deadline = max(retryDelay(lane, e.Id, counted), o.Wait)
	return command
}

// retryDelay returns the delay before the next run: exponential backoff with jitter from a hash of the message's id,
// so that a recovering pool does not get all runs at once.
func retryDelay(l config.Lane, id string, counted int64) int64 {
	d := l.Backoff << min(max(counted-1, 0), 20)
	d = min(max(d, l.Backoff), l.MaxBackoff)
	h := fnv.New64a()
	fmt.Fprint(h, id, counted)
	half := int64(d/time.Millisecond) / 2
	return half + int64(h.Sum64()%uint64(half+1))
}
