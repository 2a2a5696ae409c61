package store

import (
	"maps"
	"time"

	"caperwheel/internal/config"
	"caperwheel/internal/place"
	"caperwheel/internal/timing"
	"caperwheel/internal/wire"
)

// unknownRun is the cause that is recorded for a run whose result is not known.
const unknownRun = "unknown_run"

// checkOpenRuns asks adapters about open runs that they have not confirmed in this ownership.
func (p *PlaceHost) checkOpenRuns(now time.Duration) {
	open := p.machine.Running()
	p.pruneRunState(open)
	p.trackAbsentAdapters(open, now)
	for _, e := range open {
		if p.isAdapterGone(e, now) && p.requeueOrphan(e, now) {
			continue
		}
		if confirmation := p.confirmed[e.Id]; confirmation.attempt == e.Attempt && now < confirmation.until || now < p.nextQueryAt[e.Id] {
			continue
		}
		if who, isMember := p.environment.Find(e.Adapter); isMember {
			p.nextQueryAt[e.Id] = now + p.environment.Bounds().Of(timing.AnswerTimeout)
			p.queryRun(e, who)
		}
		p.expireMissing(e, now)
	}
}

// trackAbsentAdapters records since when the adapters of open runs have had no session.
func (p *PlaceHost) trackAbsentAdapters(open []*place.Message, now time.Duration) {
	absent := map[string]time.Duration(nil)
	for _, e := range open {
		if _, isMember := p.environment.Find(e.Adapter); isMember {
			continue
		}
		since, isKnown := p.absentSince[e.Adapter]
		if !isKnown {
			since = now
		}
		if absent == nil {
			absent = map[string]time.Duration{}
		}
		absent[e.Adapter] = since
	}
	p.absentSince = absent
}

// isAdapterGone reports whether a run's adapter has had no session for so long that it is considered lost.
func (p *PlaceHost) isAdapterGone(e *place.Message, now time.Duration) bool {
	since, isAbsent := p.absentSince[e.Adapter]
	return isAbsent && now-since >= p.environment.Bounds().Of(timing.AdapterLossTimeout)
}

// requeueOrphan requeues a message whose run's adapter is lost, so that another adapter may run it, and reports
// whether that is allowed. If the adapter comes back with a success after all, the success ends the message. Runs that
// are waited for instead: runs whose results are also kept elsewhere, so that an answered success is never run again;
// an ordered run that may still occupy its worker; and the last run of a message, since its success may still arrive.
func (p *PlaceHost) requeueOrphan(e *place.Message, now time.Duration) (mayRun bool) {
	lane, isKnown := p.lane(e.Lane)
	if !isKnown || lane.UsesWitness || isLastRun(e, lane) || p.mayStillOccupyWorker(e) && !p.poolDeduplicates(e) {
		return false
	}
	if now >= p.nextQueryAt[e.Id] {
		// Not again at once, in case this is not committed.
		p.nextQueryAt[e.Id] = now + p.environment.Bounds().ConfigApply
		p.proposeRequeue(e, lane)
	}
	return true
}

// proposeRequeue proposes that a run of unknown result is over and that its message waits for another run.
func (p *PlaceHost) proposeRequeue(e *place.Message, lane config.Lane) {
	p.propose(place.Command{Kind: place.CmdRunFailed, Id: e.Id, Attempt: e.Attempt, Cause: unknownRun, CountsAsAttempt: lane.CountsEveryRun,
		Retain: int64(lane.Retention / time.Millisecond)}, nil)
}

// isLastRun reports whether a run of unknown result ends its message.
func isLastRun(e *place.Message, lane config.Lane) bool {
	return !lane.AllowsRerun || lane.CountsEveryRun && lane.MaxAttempts > 0 && e.CountedAttempts+1 >= lane.MaxAttempts
}

// poolDeduplicates reports whether the pool of a message's run recognizes a repeated run.
func (p *PlaceHost) poolDeduplicates(e *place.Message) bool {
	return p.environment.Compiled().Rules.Pools[e.Pool].AllowsDuplicateRuns
}

// pruneRunState keeps what is recorded of runs bounded by the number of open runs.
func (p *PlaceHost) pruneRunState(open []*place.Message) {
	if len(p.confirmed)+len(p.nextQueryAt)+len(p.lostSince)+len(p.missingSince) <= 4*len(open) {
		return
	}
	ids := map[string]bool{}
	for _, e := range open {
		ids[e.Id] = true
	}
	maps.DeleteFunc(p.confirmed, func(id string, _ runConfirmation) bool { return !ids[id] })
	for _, times := range []map[string]time.Duration{p.nextQueryAt, p.lostSince, p.missingSince} {
		maps.DeleteFunc(times, func(id string, _ time.Duration) bool { return !ids[id] })
	}
}

// expireMissing expires a message whose run no adapter reports, once its patience is over and this owner has missed
// the run for so long that it cannot still be going on: its adapter has been stale since, and a worker abandons a run
// at its bound.
func (p *PlaceHost) expireMissing(e *place.Message, now time.Duration) {
	if _, isMissed := p.missingSince[e.Id]; !isMissed {
		p.missingSince[e.Id] = now
	}
	lane, isKnown := p.lane(e.Lane)
	if !isKnown || p.now() < e.Deadline || p.mayStillOccupyWorker(e) || now-p.missingSince[e.Id] < p.environment.Bounds().ConfigApply {
		return
	}
	p.missingSince[e.Id] = now // not again at once, in case this is not committed
	p.propose(place.Command{Kind: place.CmdClose, Id: e.Id, Attempt: e.Attempt, State: string(place.Expired), Cause: unknownRun,
		HoldsKey: lane.HoldsAfterFailure, Retain: int64(lane.Retention / time.Millisecond)}, nil)
}

// mayStillRun reports whether an ordered run whose adapter is lost may still be going on at its worker. It uses the
// bound that the run was started with, whatever the configuration says now.
func (p *PlaceHost) mayStillRun(e *place.Message) bool { return e.Ordered && p.now() < e.Due }

// mayStillOccupyWorker reports whether an ordered run of which no adapter reports anything may still be going on. A
// run at a worker that is frozen keeps the connection, and with it the worker, for longer.
func (p *PlaceHost) mayStillOccupyWorker(e *place.Message) bool {
	bound := time.Duration(p.environment.Compiled().Rules.RunTimeoutMs(e.Lane, e.Pool)) * time.Millisecond
	extra := place.AnswerTimeout(true, bound) - place.OrphanedRunLimit(bound)
	return e.Ordered && p.now() < e.Due+extra.Milliseconds()
}

// queryRun asks an adapter for the state of a run. A later incarnation of the adapter answers from the results that
// the agent on its machine keeps.
func (p *PlaceHost) queryRun(e *place.Message, who wire.Who) {
	id, attempt := e.Id, e.Attempt
	query := &wire.Open{Place: p.number, Term: p.host.Term(), Id: id, Attempt: attempt, Boot: e.Boot}
	_ = p.environment.Post(who, query, func(reply any, err error) {
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

// handleLostRun handles a run whose adapter has restarted, so that it is not known whether the worker executed it. If
// the run is ordered, the worker is given time to end it.
func (p *PlaceHost) handleLostRun(e *place.Message, now time.Duration) {
	lane, isKnown := p.lane(e.Lane)
	if !isKnown {
		return
	}
	isLast := isLastRun(e, lane)
	mayRepeat := p.poolDeduplicates(e) && !isLast // else the next message of the key would start
	if p.lostSince[e.Id] == 0 {
		p.lostSince[e.Id] = now
	}
	// By then, a result that is kept elsewhere has been delivered.
	wait := p.environment.Bounds().Of(timing.SessionTimeout)
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
