package store

import (
	"maps"
	"time"

	"caperwheel/internal/place"
	"caperwheel/internal/timing"
	"caperwheel/internal/wire"
)

// askOpen asks adapters for runs that this owner does not know to be in hand.
func (p *PlaceHost) askOpen(now time.Duration) {
	open := p.machine.Open()
	p.forgetClosed(open)
	for _, e := range open {
		if h := p.inHand[e.Id]; h.attempt == e.Attempt && now < h.until || now < p.asking[e.Id] {
			continue
		}
		// An adapter that is away may still come back with a success: wait.
		if who, isMember := p.environment.Find(e.Adapter); isMember {
			p.asking[e.Id] = now + p.environment.Bounds().Of(timing.AnswerTimeout)
			p.ask(e, who)
		}
		p.giveUp(e, now)
	}
}

// forgetClosed keeps what is noted of runs bounded by the runs that are open.
func (p *PlaceHost) forgetClosed(open []*place.Message) {
	if len(p.inHand)+len(p.asking)+len(p.lostAt)+len(p.missed) <= 4*len(open) {
		return
	}
	ids := map[string]bool{}
	for _, e := range open {
		ids[e.Id] = true
	}
	maps.DeleteFunc(p.inHand, func(id string, _ inHand) bool { return !ids[id] })
	for _, noted := range []map[string]time.Duration{p.asking, p.lostAt, p.missed} {
		maps.DeleteFunc(noted, func(id string, _ time.Duration) bool { return !ids[id] })
	}
}

// giveUp ends the wait for a run of which nobody tells once the message's
// patience is over, and so long after this owner first missed the run that it
// cannot be going on: its adapter has been stale since, and a worker leaves a
// run within its bound.
func (p *PlaceHost) giveUp(e *place.Message, now time.Duration) {
	if _, isMissed := p.missed[e.Id]; !isMissed {
		p.missed[e.Id] = now
	}
	lane, isKnown := p.lane(e.Lane)
	if !isKnown || p.now() < e.Deadline || p.mayStand(e) || now-p.missed[e.Id] < p.environment.Bounds().Config {
		return
	}
	p.missed[e.Id] = now // not again at once, should this not be committed
	p.propose(place.Command{Kind: place.CmdClose, Id: e.Id, Attempt: e.Attempt, State: string(place.Expired), Cause: "unknown_run",
		Hold: lane.HoldFailed, Retain: int64(lane.Retention / time.Millisecond)}, nil)
}

// mayGoOn reports whether an ordered run whose adapter is lost may still be going on at
// its worker. That follows from the bound that it was begun with, whatever the
// configuration says now.
func (p *PlaceHost) mayGoOn(e *place.Message) bool { return e.Ordered && p.now() < e.Due }

// mayStand reports whether an ordered run may still be going on of whose adapter nothing
// is known. One that stands still keeps the connection, and with it the worker, for longer.
func (p *PlaceHost) mayStand(e *place.Message) bool {
	bound := time.Duration(p.environment.Compiled().Rules.BoundOf(e.Lane, e.Pool)) * time.Millisecond
	more := place.Wait(true, bound) - place.Busy(bound)
	return e.Ordered && p.now() < e.Due+more.Milliseconds()
}

// ask learns what became of a run from its adapter, or from the adapter's next
// life, which looks whether the agent beside it keeps a result.
func (p *PlaceHost) ask(e *place.Message, who wire.Who) {
	id, attempt := e.Id, e.Attempt
	ask := &wire.Open{Place: p.number, Term: p.host.Term(), Id: id, Attempt: attempt, Boot: e.Boot}
	_ = p.environment.Post(who, ask, func(reply any, err error) {
		ack, isAck := reply.(*wire.OpenAck)
		if err != nil || !isAck || ack.Kind != "" {
			return
		}
		_ = p.host.Do(func() {
			if !p.host.IsOwner() || e.State != place.Started || e.Attempt != attempt {
				return
			}
			delete(p.asking, id)
			switch ack.State {
			case "open":
				p.noteInHand(id, attempt)
			case "gone":
				p.lost(e, p.environment.Now())
			default:
				p.undo(id, attempt, "never_started")
			}
		})
	})
}

// lost deals with a run whose adapter has begun a new life: whether the worker
// did it is unknown. For an ordered lane the worker is given time to end it.
func (p *PlaceHost) lost(e *place.Message, now time.Duration) {
	lane, isKnown := p.lane(e.Lane)
	if !isKnown {
		return
	}
	isLast := !lane.Rerun || lane.SpendsAll && lane.Attempts > 0 && e.Spent+1 >= lane.Attempts
	mayRepeat := p.environment.Compiled().Rules.Pools[e.Pool].Repeats && !isLast // else the next of the key would begin
	if p.lostAt[e.Id] == 0 {
		p.lostAt[e.Id] = now
	}
	wait := p.environment.Bounds().Of(timing.SessionTimeout) // whoever keeps its result hands it over by then
	if now-p.lostAt[e.Id] < wait || p.mayGoOn(e) && !mayRepeat {
		p.asking[e.Id] = now + p.environment.Bounds().Of(timing.AnswerTimeout)
		return
	}
	p.asking[e.Id] = now + p.environment.Bounds().Config
	delete(p.lostAt, e.Id)
	delete(p.missed, e.Id)
	c := place.Command{Kind: place.CmdBack, Id: e.Id, Attempt: e.Attempt, Cause: "unknown_run", Costs: lane.SpendsAll,
		Retain: int64(lane.Retention / time.Millisecond)}
	if isLast {
		c.Kind, c.State, c.Hold = place.CmdClose, string(place.Failed), lane.HoldFailed
	}
	p.propose(c, nil)
}
