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

// timeRecoveries counts ownerships that had to recover their place's time.
var timeRecoveries = prometheus.NewCounterVec(prometheus.CounterOpts{Namespace: "caperwheel", Subsystem: "place", Name: "time_recalls_total",
	Help: "Times that a new owner of a place asked adapters for its time, by whether one knew."}, []string{"known"})

// recoveredSeconds sums up the time that would have been lost if adapters did not keep places' times.
var recoveredSeconds = prometheus.NewCounter(prometheus.CounterOpts{Namespace: "caperwheel", Subsystem: "place", Name: "time_recalled_seconds_total",
	Help: "By how much the time that adapters kept was ahead of that in the logs of new owners."})

func init() { prometheus.MustRegister(timeRecoveries, recoveredSeconds) }

// timedGroup is a place's group. Its owner counts as the owner only once it knows the place's time.
type timedGroup struct {
	Group
	recovery *timeRecovery // nil unless the time is being recovered
}

// timeRecovery is the state of a new owner that recovers its place's time. It waits for adapters to report the time,
// and then for one adapter to store it for this ownership, since once a command of this ownership is in the log, times
// stored for earlier ownerships no longer count.
//
// Invariant: no command is proposed while it lasts.
type timeRecovery struct {
	freshAt        time.Duration         // when the view was first fresh during the recovery; negative before
	adapterAddedAt time.Duration         // when the view last named another adapter
	queries        map[string]*timeQuery // by incarnation of the adapter
	hasAnswer      bool                  // an adapter has answered
	firstAnswerAt  time.Duration         // when the first adapter answered
	isTimeKnown    bool                  // a reading was accepted
	freshTimeAt    time.Duration         // when a reading was accepted that was not long in transit; negative before
	isReplicating  bool                  // queries are over, and the time is sent to adapters
	replicateUntil time.Duration         // limit on waiting for an adapter that stores the time
}

// timeQuery is the query to one adapter.
type timeQuery struct {
	sentAt     time.Duration
	isAnswered bool
	isFailed   bool // the query or its answer was lost
}

// IsOwner reports whether the store owns the place and knows the place's time.
func (g *timedGroup) IsOwner() bool { return g.recovery == nil && g.Group.IsOwner() }

// Propose rejects commands while the place's time is not known.
func (g *timedGroup) Propose(data []byte, done func(verdict any, err error)) {
	if g.recovery != nil {
		done(nil, errs.New(errs.NotOwner, "propose a command: the place's time is not recovered yet"))
		return
	}
	g.Group.Propose(data, done)
}

// beginTimeRecovery queries adapters for the place's time, because the newest command in the log may be old.
func (p *PlaceHost) beginTimeRecovery() {
	p.host.recovery = &timeRecovery{freshAt: -1, freshTimeAt: -1, queries: map[string]*timeQuery{}}
	p.stepTimeRecovery(p.environment.Now())
}

// stepTimeRecovery queries adapters that have become members, and ends the recovery once no adapter is left that may
// know the time.
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
	holders := p.timeHolders(2 * maxTimeHolders)
	r.dropFailed(holders)
	for _, who := range holders {
		p.queryTime(r, who, now)
	}
	if r.isConclusive(now, p.environment.Bounds()) || isFresh && r.isExhausted(now, p.environment.Bounds()) {
		p.concludeTimeRecovery(now)
	}
}

// dropFailed drops the failed queries to adapters that are no longer members.
func (r *timeRecovery) dropFailed(members []wire.Who) {
	for boot, query := range r.queries {
		if query.isFailed && !slices.ContainsFunc(members, func(who wire.Who) bool { return who.Boot == boot }) {
			delete(r.queries, boot)
		}
	}
}

// isConclusive reports whether the time is known and no other adapter need be waited for. Others are waited for
// shortly, because an adapter that was frozen when it was sent the time is behind those that were not.
func (r *timeRecovery) isConclusive(now time.Duration, bounds timing.Bounds) bool {
	if r.freshTimeAt < 0 {
		return false
	}
	isOpen := func(query *timeQuery) bool { return !query.isAnswered && !query.isFailed }
	return now-r.freshTimeAt >= bounds.Of(timing.TimeQueryGrace) || !slices.ContainsFunc(slices.Collect(maps.Values(r.queries)), isOpen)
}

// isExhausted reports, given a fresh view, whether no adapter is left to wait for.
func (r *timeRecovery) isExhausted(now time.Duration, bounds timing.Bounds) bool {
	limit := timing.TimeRecoveryMaxWait
	if r.hasAnswer {
		limit = timing.TimeRecoveryTimeout
	}
	// The first adapter to answer after an outage need not know the time.
	switch waited := now - max(r.freshAt, r.firstAnswerAt); {
	case waited >= bounds.Of(limit):
		return true
	case now-r.adapterAddedAt < bounds.Of(timing.TimeQueryTimeout), len(r.queries) == 0:
		return false // managers that have just started may not list all adapters yet
	}
	for _, query := range r.queries {
		if !query.isAnswered {
			return false
		}
	}
	return true
}

// concludeTimeRecovery ends the queries, whether or not the time is known.
func (p *PlaceHost) concludeTimeRecovery(now time.Duration) {
	if !p.host.recovery.isTimeKnown {
		timeRecoveries.WithLabelValues("false").Inc()
		p.isTimeUnknown.Store(true)
		klog.Infof("place: No adapter knows the time of place %d; the place goes on from its newest command, so any time that has passed since is lost.", p.number)
	}
	p.replicateRecoveredTime(now)
}

// queryTime queries an adapter, again if a query failed a while ago.
func (p *PlaceHost) queryTime(r *timeRecovery, who wire.Who, now time.Duration) {
	pause := p.environment.Bounds().Of(timing.RedialDelay)
	switch known := r.queries[who.Boot]; {
	case known == nil:
		r.adapterAddedAt = now
	case !known.isFailed || now-known.sentAt < pause:
		return
	}
	query := &timeQuery{sentAt: now}
	err := p.environment.Post(who, &wire.AskTime{Group: p.groupId()}, func(reply any, _ error) {
		_ = p.host.Do(func() { p.onTimeReply(r, query, who, reply) })
	})
	switch {
	case err == nil:
		r.queries[who.Boot] = query
	case errs.Is(err, errs.Rejected): // an older build without the message
		r.queries[who.Boot] = &timeQuery{isAnswered: true}
		r.noteAnswer(now)
	default:
		r.queries[who.Boot] = &timeQuery{sentAt: now, isFailed: true}
	}
}

// onTimeReply handles an adapter's answer.
func (p *PlaceHost) onTimeReply(r *timeRecovery, query *timeQuery, who wire.Who, reply any) {
	if p.host.recovery != r || r.isReplicating { // applying a late answer would shorten delays that have begun
		return
	}
	now := p.environment.Now()
	if kept, isKept := reply.(*wire.TimeKept); isKept {
		query.isAnswered = true
		r.noteAnswer(now)
		p.applyReading(r, query, who, kept, now)
	} else {
		query.isFailed = true
	}
	if r.isConclusive(now, p.environment.Bounds()) {
		p.concludeTimeRecovery(now)
	}
}

// noteAnswer records when the first adapter answered.
func (r *timeRecovery) noteAnswer(now time.Duration) {
	if !r.hasAnswer {
		r.hasAnswer, r.firstAnswerAt = true, now
	}
}

// applyReading advances the place's time to an adapter's reading, if it is accepted. A reading that may have been long
// in transit, because this store or the adapter was frozen, is requested again.
func (p *PlaceHost) applyReading(r *timeRecovery, query *timeQuery, who wire.Who, kept *wire.TimeKept, now time.Duration) {
	switch {
	case kept.Term == 0 || !p.advanceClock(r, kept, who, now):
	case now-query.sentAt > p.environment.Bounds().Of(timing.TimeQueryTimeout):
		delete(r.queries, who.Boot)
	case r.freshTimeAt < 0:
		r.freshTimeAt = now
	}
}

// advanceClock advances the place's time to an adapter's reading, and reports whether the reading is accepted.
func (p *PlaceHost) advanceClock(r *timeRecovery, kept *wire.TimeKept, who wire.Who, now time.Duration) bool {
	gained, err := p.clock.Recover(groupclock.Reading{Term: kept.Term, Millis: kept.Reading},
		groupclock.Ownership{Term: p.host.Term(), NewestTerm: p.host.DataTerm()}, now)
	if err != nil {
		klog.V(1).Infof("place: The reading of adapter %s for the time of place %d was rejected: %v.", who.Name, p.number, err)
		return false
	}
	if !r.isTimeKnown {
		r.isTimeKnown = true
		timeRecoveries.WithLabelValues("true").Inc()
	}
	recoveredSeconds.Add(gained.Seconds())
	if gained > p.environment.Bounds().Of(timing.TimeQueryTimeout) {
		klog.Infof("place: The time of place %d was recovered %v ahead of its log, from adapter %s.", p.number, gained, who.Name)
	}
	return true
}

// endTimeRecovery begins the ownership.
func (p *PlaceHost) endTimeRecovery() {
	p.host.recovery = nil
	p.beginOwnership(true)
}
