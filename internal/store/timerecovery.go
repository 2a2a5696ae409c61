package store

import (
	"maps"
	"slices"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"k8s.io/klog/v2"

	"caperwheel/internal/errs"
	"caperwheel/internal/groupclock"
	"caperwheel/internal/timing"
	"caperwheel/internal/wire"
)

// timeRecoveries counts ownerships that waited to know their place's time.
var timeRecoveries = prometheus.NewCounterVec(prometheus.CounterOpts{Namespace: "caperwheel", Subsystem: "place", Name: "time_recalls_total",
	Help: "Times that a new owner of a place asked adapters for its time, by whether one knew."}, []string{"known"})

// recoveredSeconds sums up the time that would have been lost without adapters that keep it.
var recoveredSeconds = prometheus.NewCounter(prometheus.CounterOpts{Namespace: "caperwheel", Subsystem: "place", Name: "time_recalled_seconds_total",
	Help: "By how much the time that adapters kept was ahead of that in the logs of new owners."})

func init() { prometheus.MustRegister(timeRecoveries, recoveredSeconds) }

// timedGroup is a place's group, whose owner counts as one only once it knows the place's time.
type timedGroup struct {
	Group
	recovery *timeRecovery // nil but while the time is being asked for
}

// recall is a new owner's wait: first for what its place's time is, then for an adapter that keeps it in
// this ownership, since no other word counts once a command of this ownership is in the log.
//
// Invariant: no command is proposed while it lasts.
type timeRecovery struct {
	freshAt        time.Duration         // when the view was first fresh in it; negative before
	adapterAddedAt time.Duration         // when the view last named another adapter
	queries        map[string]*timeQuery // by life of an adapter
	hasAnswer      bool                  // an adapter has answered
	firstAnswerAt  time.Duration         // when the first did
	isTimeKnown    bool                  // a word counted
	freshTimeAt    time.Duration         // when one counted that was not on its way for long; negative before
	isReplicating  bool                  // the time is as known as it will be
	replicateUntil time.Duration
}

// timeQuery is one adapter's part in a recall.
type timeQuery struct {
	sentAt     time.Duration
	isAnswered bool
	isFailed   bool // the ask or its answer was lost
}

// IsOwner reports whether the store owns the place and knows its time.
func (g *timedGroup) IsOwner() bool { return g.recovery == nil && g.Group.IsOwner() }

// Propose refuses what comes before the place's time is known.
func (g *timedGroup) Propose(data []byte, tell func(verdict any, err error)) {
	if g.recovery != nil {
		tell(nil, errs.New(errs.NotOwner, "the place's time is not known yet"))
		return
	}
	g.Group.Propose(data, tell)
}

// beginTimeRecovery asks adapters for the place's time: the newest command in the log may be from long ago.
func (p *PlaceHost) beginTimeRecovery() {
	p.host.recovery = &timeRecovery{freshAt: -1, freshTimeAt: -1, queries: map[string]*timeQuery{}}
	p.stepTimeRecovery(p.environment.Now())
}

// stepTimeRecovery asks those adapters that have become members, and ends the wait once none is left that may know.
func (p *PlaceHost) stepTimeRecovery(now time.Duration) {
	r := p.host.recovery
	if r == nil {
		return
	}
	if r.isReplicating {
		if now >= r.replicateUntil {
			p.endTimeRecovery()
			return
		}
		p.replicateTime(now)
		return
	}
	isFresh := p.environment.IsFresh()
	if isFresh && r.freshAt < 0 {
		r.freshAt = now
	}
	keepers := p.timeHolders(2 * maxTimeHolders)
	r.dropFailed(keepers)
	for _, who := range keepers {
		p.queryTime(r, who, now)
	}
	if r.isConclusive(now, p.environment.Bounds()) || isFresh && r.isExhausted(now, p.environment.Bounds()) {
		p.concludeTimeRecovery(now)
	}
}

// dropFailed drops the asks that failed of adapters that are no members any more.
func (r *timeRecovery) dropFailed(members []wire.Who) {
	for boot, ask := range r.queries {
		if ask.isFailed && !slices.ContainsFunc(members, func(who wire.Who) bool { return who.Boot == boot }) {
			delete(r.queries, boot)
		}
	}
}

// isSettled reports whether the time is known and no other adapter is to be waited for: one that stood still as it was
// told the time is behind those that did not.
func (r *timeRecovery) isConclusive(now time.Duration, bounds timing.Bounds) bool {
	if r.freshTimeAt < 0 {
		return false
	}
	isOpen := func(ask *timeQuery) bool { return !ask.isAnswered && !ask.isFailed }
	return now-r.freshTimeAt >= bounds.Of(timing.TimeQueryGrace) || !slices.ContainsFunc(slices.Collect(maps.Values(r.queries)), isOpen)
}

// isExhausted reports, with a fresh view, whether there is nobody left to wait for.
func (r *timeRecovery) isExhausted(now time.Duration, bounds timing.Bounds) bool {
	limit := timing.TimeRecoveryMaxWait
	if r.hasAnswer {
		limit = timing.TimeRecoveryTimeout
	}
	switch waited := now - max(r.freshAt, r.firstAnswerAt); { // the first to answer after a silence need not be one that knows
	case waited >= bounds.Of(limit):
		return true
	case now-r.adapterAddedAt < bounds.Of(timing.TimeQueryTimeout), len(r.queries) == 0:
		return false // managers that have just started may not know all adapters yet
	}
	for _, ask := range r.queries {
		if !ask.isAnswered {
			return false
		}
	}
	return true
}

// concludeTimeRecovery goes on with what is known by now.
func (p *PlaceHost) concludeTimeRecovery(now time.Duration) {
	if !p.host.recovery.isTimeKnown {
		timeRecoveries.WithLabelValues("false").Inc()
		p.isTimeUnknown.Store(true)
		klog.Infof("place: Nobody knows the time of place %d; what has passed since its newest command is lost, or was none.", p.number)
	}
	p.replicateRecoveredTime(now)
}

// queryTime asks an adapter, again where that failed a while ago.
func (p *PlaceHost) queryTime(r *timeRecovery, who wire.Who, now time.Duration) {
	pause := p.environment.Bounds().Of(timing.RedialDelay)
	switch known := r.queries[who.Boot]; {
	case known == nil:
		r.adapterAddedAt = now
	case !known.isFailed || now-known.sentAt < pause:
		return
	}
	ask := &timeQuery{sentAt: now}
	err := p.environment.Post(who, &wire.AskTime{Group: p.groupId()}, func(reply any, _ error) {
		_ = p.host.Do(func() { p.onTimeReply(r, ask, who, reply) })
	})
	switch {
	case err == nil:
		r.queries[who.Boot] = ask
	case errs.Is(err, errs.Rejected): // an older build
		r.queries[who.Boot] = &timeQuery{isAnswered: true}
		r.noteAnswer(now)
	default:
		r.queries[who.Boot] = &timeQuery{sentAt: now, isFailed: true}
	}
}

// onTimeReply takes in an adapter's answer.
func (p *PlaceHost) onTimeReply(r *timeRecovery, ask *timeQuery, who wire.Who, reply any) {
	if p.host.recovery != r || r.isReplicating { // an answer that came too late would make spans short that have begun
		return
	}
	now := p.environment.Now()
	if kept, isKept := reply.(*wire.TimeKept); isKept {
		ask.isAnswered = true
		r.noteAnswer(now)
		p.applyReading(r, ask, who, kept, now)
	} else {
		ask.isFailed = true
	}
	if r.isConclusive(now, p.environment.Bounds()) {
		p.concludeTimeRecovery(now)
	}
}

// noteAnswer notes that an adapter has answered.
func (r *timeRecovery) noteAnswer(now time.Duration) {
	if !r.hasAnswer {
		r.hasAnswer, r.firstAnswerAt = true, now
	}
}

// applyReading has the place's time go on from a word that counts. One that may have been on its way for long, since this store
// or the adapter stood still, is asked for again.
func (p *PlaceHost) applyReading(r *timeRecovery, ask *timeQuery, who wire.Who, kept *wire.TimeKept, now time.Duration) {
	switch {
	case kept.Term == 0 || !p.advanceClock(r, kept, who, now):
	case now-ask.sentAt > p.environment.Bounds().Of(timing.TimeQueryTimeout):
		delete(r.queries, who.Boot)
	case r.freshTimeAt < 0:
		r.freshTimeAt = now
	}
}

// advanceClock has the place's time go on from a word, and reports whether that counts.
func (p *PlaceHost) advanceClock(r *timeRecovery, kept *wire.TimeKept, who wire.Who, now time.Duration) bool {
	gained, err := p.clock.Recover(groupclock.Reading{Term: kept.Term, Millis: kept.Reading},
		groupclock.Ownership{Term: p.host.Term(), NewestTerm: p.host.DataTerm()}, now)
	if err != nil {
		klog.V(1).Infof("place: What %s tells of the time of place %d does not count: %v.", who.Name, p.number, err)
		return false
	}
	if !r.isTimeKnown {
		r.isTimeKnown = true
		timeRecoveries.WithLabelValues("true").Inc()
	}
	recoveredSeconds.Add(gained.Seconds())
	if gained > p.environment.Bounds().Of(timing.TimeQueryTimeout) {
		klog.Infof("place: Place %d goes on %v later than its log tells, by what %s knows.", p.number, gained, who.Name)
	}
	return true
}

// endTimeRecovery begins the ownership.
func (p *PlaceHost) endTimeRecovery() {
	p.host.recovery = nil
	p.beginOwnership(true)
}
