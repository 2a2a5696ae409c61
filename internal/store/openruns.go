package store

import (
	"maps"
	"time"

	"caperwheel/internal/config"
	"caperwheel/internal/place"
	"caperwheel/internal/timing"
	"caperwheel/internal/wire"
)

// unknownRun is the cause told of a run of which nobody knows what became.
const unknownRun = "unknown_run"

// checkOpenRuns asks adapters for runs that this owner does not know to be in hand.
func (p *PlaceHost) checkOpenRuns(now time.Duration) {
	open := p.machine.Running()
	p.pruneRunState(open)
	p.trackAbsentAdapters(open, now)
	for _, e := range open {
		if p.isAdapterGone(e, now) && p.requeueOrphan(e, now) {
			continue
		}
		if h := p.confirmed[e.Id]; h.attempt == e.Attempt && now < h.until || now < p.nextQueryAt[e.Id] {
			continue
		}
		if who, isMember := p.environment.Find(e.Adapter); isMember {
			p.nextQueryAt[e.Id] = now + p.environment.Bounds().Of(timing.AnswerTimeout)
			p.queryRun(e, who)
		}
		p.expireMissing(e, now)
	}
}

// trackAbsentAdapters notes since when the adapters of open runs have been no members.
func (p *PlaceHost) trackAbsentAdapters(open []*place.Message, now time.Duration) {
	away := map[string]time.Duration(nil)
	for _, e := range open {
		if _, isMember := p.environment.Find(e.Adapter); isMember {
			continue
		}
		since, isKnown := p.absentSince[e.Adapter]
		if !isKnown {
			since = now
		}
		if away == nil {
			away = map[string]time.Duration{}
		}
		away[e.Adapter] = since
	}
	p.absentSince = away
}

// isAdapterGone reports whether a run's adapter has been away for so long that it
// is taken for gone.
func (p *PlaceHost) isAdapterGone(e *place.Message, now time.Duration) bool {
	since, isAway := p.absentSince[e.Adapter]
	return isAway && now-since >= p.environment.Bounds().Of(timing.AdapterLossTimeout)
}

// requeueOrphan brings a run back whose adapter is gone, so that another may run it, and
// reports whether it may. Should the adapter come back with a success after all, that
// ends the message. Waited for are runs whose results others keep, so that an answered
// success is never run again; an ordered one that may still go on at its worker; and one
// that is the last, since its success may come.
func (p *PlaceHost) requeueOrphan(e *place.Message, now time.Duration) (mayRun bool) {
	lane, isKnown := p.lane(e.Lane)
	if !isKnown || lane.UsesWitness || isLastRun(e, lane) || p.mayStillOccupyWorker(e) && !p.poolDeduplicates(e) {
		return false
	}
	if now >= p.nextQueryAt[e.Id] {
		p.nextQueryAt[e.Id] = now + p.environment.Bounds().ConfigApply // not again at once, should this not be committed
		p.proposeRequeue(e, lane)
	}
	return true
}

// proposeRequeue proposes that a run of unknown fate is over and its message held again.
func (p *PlaceHost) proposeRequeue(e *place.Message, lane config.Lane) {
	p.propose(place.Command{Kind: place.CmdRunFailed, Id: e.Id, Attempt: e.Attempt, Cause: unknownRun, CountsAsAttempt: lane.CountsEveryRun,
		Retain: int64(lane.Retention / time.Millisecond)}, nil)
}

// isLastRun reports whether a run of unknown fate ends its message.
func isLastRun(e *place.Message, lane config.Lane) bool {
	return !lane.AllowsRerun || lane.CountsEveryRun && lane.MaxAttempts > 0 && e.CountedAttempts+1 >= lane.MaxAttempts
}

// poolDeduplicates reports whether the pool of a message's run knows a run again.
func (p *PlaceHost) poolDeduplicates(e *place.Message) bool {
	return p.environment.Compiled().Rules.Pools[e.Pool].AllowsDuplicateRuns
}

// pruneRunState keeps what is noted of runs bounded by the runs that are open.
func (p *PlaceHost) pruneRunState(open []*place.Message) {
	if len(p.confirmed)+len(p.nextQueryAt)+len(p.lostSince)+len(p.missingSince) <= 4*len(open) {
		return
	}
	ids := map[string]bool{}
	for _, e := range open {
		ids[e.Id] = true
	}
	maps.DeleteFunc(p.confirmed, func(id string, _ runConfirmation) bool { return !ids[id] })
	for _, noted := range []map[string]time.Duration{p.nextQueryAt, p.lostSince, p.missingSince} {
		maps.DeleteFunc(noted, func(id string, _ time.Duration) bool { return !ids[id] })
	}
}

// expireMissing ends the wait for a run of which nobody tells once the message's
// patience is over, and so long after this owner first missed the run that it
// cannot be going on: its adapter has been stale since, and a worker leaves a
// run within its bound.
func (p *PlaceHost) expireMissing(e *place.Message, now time.Duration) {
	if _, isMissed := p.missingSince[e.Id]; !isMissed {
		p.missingSince[e.Id] = now
	}
	lane, isKnown := p.lane(e.Lane)
	if !isKnown || p.now() < e.Deadline || p.mayStillOccupyWorker(e) || now-p.missingSince[e.Id] < p.environment.Bounds().ConfigApply {
		return
	}
	p.missingSince[e.Id] = now // not again at once, should this not be committed
	p.propose(place.Command{Kind: place.CmdClose, Id: e.Id, Attempt: e.Attempt, State: string(place.Expired), Cause: unknownRun,
		HoldsKey: lane.HoldsAfterFailure, Retain: int64(lane.Retention / time.Millisecond)}, nil)
}

// mayStillRun reports whether an ordered run whose adapter is lost may still be going on at
// its worker. That follows from the bound that it was begun with, whatever the
// configuration says now.
func (p *PlaceHost) mayStillRun(e *place.Message) bool { return e.Ordered && p.now() < e.Due }

// mayStillOccupyWorker reports whether an ordered run may still be going on of whose adapter nothing
// is known. One that stands still keeps the connection, and with it the worker, for longer.
func (p *PlaceHost) mayStillOccupyWorker(e *place.Message) bool {
	bound := time.Duration(p.environment.Compiled().Rules.RunTimeoutMs(e.Lane, e.Pool)) * time.Millisecond
	more := place.AnswerTimeout(true, bound) - place.OrphanedRunLimit(bound)
	return e.Ordered && p.now() < e.Due+more.Milliseconds()
}

// ask learns what became of a run from its adapter, or from the adapter's next
// life, which looks whether the agent beside it keeps a result.
func (p *PlaceHost) queryRun(e *place.Message, who wire.Who) {
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
			delete(p.nextQueryAt, id)
			switch ack.State {
			case "open":
				p.confirmRun(id, attempt)
			case "gone":
				p.handleLostRun(e, p.environment.Now())
			default:
				p.undoStart(id, attempt, "never_started")
			}
		})
	})
}

// handleLostRun deals with a run whose adapter has begun a new life: whether the worker
// did it is unknown. For an ordered lane the worker is given time to end it.
func (p *PlaceHost) handleLostRun(e *place.Message, now time.Duration) {
	lane, isKnown := p.lane(e.Lane)
	if !isKnown {
		return
	}
	isLast := isLastRun(e, lane)
	mayRepeat := p.poolDeduplicates(e) && !isLast // else the next of the key would begin
	if p.lostSince[e.Id] == 0 {
		p.lostSince[e.Id] = now
	}
	wait := p.environment.Bounds().Of(timing.SessionTimeout) // whoever keeps its result hands it over by then
	if now-p.lostSince[e.Id] < wait || p.mayStillRun(e) && !mayRepeat {
		p.nextQueryAt[e.Id] = now + p.environment.Bounds().Of(timing.AnswerTimeout)
		return
	}
	p.nextQueryAt[e.Id] = now + p.environment.Bounds().ConfigApply
	delete(p.lostSince, e.Id)
	delete(p.missingSince, e.Id)
	if !isLast {
		p.proposeRequeue(e, lane)
		return
	}
	p.propose(place.Command{Kind: place.CmdClose, Id: e.Id, Attempt: e.Attempt, Cause: unknownRun, CountsAsAttempt: lane.CountsEveryRun,
		State: string(place.Failed), HoldsKey: lane.HoldsAfterFailure, Retain: int64(lane.Retention / time.Millisecond)}, nil)
}
