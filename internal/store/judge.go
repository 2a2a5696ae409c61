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

// Outcome makes a run's result durable and acknowledges it.
func (p *PlaceHost) Outcome(o *wire.Outcome, answer func(any)) {
	if !p.host.IsOwner() {
		answer(&wire.OutcomeAck{Kind: string(errs.NotOwner), Owner: p.ownerName()})
		return
	}
	key := outcomeKey(o)
	if p.underWay.join(key, answer) {
		return
	}
	e := p.machine.Find(o.Id)
	if e == nil {
		// Ended and forgotten long ago, or else this owner has been replaced and
		// never heard of it: only a commit can tell.
		e = &place.Message{Id: o.Id}
	}
	lane, isKnown := p.lane(e.Lane)
	if !isKnown {
		answer(&wire.OutcomeAck{Kind: string(errs.Stale)}) // its adapter keeps it and comes again
		return
	}
	answer = p.underWay.begin(key, answer)
	p.propose(p.judge(e, o, lane), func(_ place.Verdict, err error) {
		if err != nil {
			answer(&wire.OutcomeAck{Kind: string(errs.KindOf(err)), Owner: p.ownerName()})
			return
		}
		delete(p.inHand, o.Id)
		delete(p.lostAt, o.Id)
		delete(p.missed, o.Id)
		answer(&wire.OutcomeAck{})
	})
}

// judge decides what a result means for its message. A failure is the last attempt's
// only while its run is open: a result may come again, and counts once.
func (p *PlaceHost) judge(e *place.Message, o *wire.Outcome, lane config.Lane) place.Command {
	retain := int64(lane.Retention / time.Millisecond)
	if o.Kind == "" {
		c := place.Command{Kind: place.CmdEnd, Id: e.Id, Proof: o.Proof, Retain: retain, Drop: lane.DropsBytes}
		if lane.Callback != "" {
			c.Child = place.Child{Id: p.environment.ChildOf(e.Id), Lane: lane.Callback, Ctype: o.Proof.Ctype, Body: o.Proof.Answer,
				Sum: wire.SumOf(o.Proof.Answer), Parent: e.Id}
		}
		return c
	}
	isSpent := o.Begun && (lane.SpendsAll || o.Kind == string(errs.Unhealthy))
	back := place.Command{Kind: place.CmdBack, Id: e.Id, Attempt: o.Proof.Attempt, Cause: o.Kind, Costs: isSpent, Retain: retain}
	back.Hold = o.Begun && e.Ordered && o.Wait > 0 && place.MayGoOn(errs.Kind(o.Kind))
	// A failure told again, of a run that was already brought back, counts no more.
	isOpen := e.State == place.Started && e.Attempt == o.Proof.Attempt
	isLast := isSpent && isOpen && lane.Attempts > 0 && e.Spent+1 >= lane.Attempts
	if o.Begun && !back.Hold && (o.Final || isLast) {
		back.Kind, back.State, back.Hold = place.CmdClose, string(place.Failed), lane.HoldFailed
		return back
	}
	spent := e.Spent
	if isSpent {
		spent++
	}
	back.Deadline = max(pause(lane, e.Id, spent), o.Wait)
	return back
}

// pause is the time before the next run: it doubles, with jitter drawn from
// the message's id, so that a recovering pool does not meet all at once.
func pause(l config.Lane, id string, spent int64) int64 {
	d := l.Backoff << min(max(spent-1, 0), 20)
	d = min(max(d, l.Backoff), l.BackoffMost)
	h := fnv.New64a()
	fmt.Fprint(h, id, spent)
	half := int64(d/time.Millisecond) / 2
	return half + int64(h.Sum64()%uint64(half+1))
}
