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

// recalls counts ownerships that waited to know their place's time.
var recalls = prometheus.NewCounterVec(prometheus.CounterOpts{Namespace: "caperwheel", Subsystem: "place", Name: "time_recalls_total",
	Help: "Times that a new owner of a place asked adapters for its time, by whether one knew."}, []string{"known"})

// recalled sums up the time that would have been lost without adapters that keep it.
var recalled = prometheus.NewCounter(prometheus.CounterOpts{Namespace: "caperwheel", Subsystem: "place", Name: "time_recalled_seconds_total",
	Help: "By how much the time that adapters kept was ahead of that in the logs of new owners."})

func init() { prometheus.MustRegister(recalls, recalled) }

// timedGroup is a place's group, whose owner counts as one only once it knows the place's time.
type timedGroup struct {
	Hosting
	recall *recall // nil but while the time is being asked for
}

// recall is a new owner's wait: first for what its place's time is, then for an adapter that keeps it in
// this ownership, since no other word counts once a command of this ownership is in the log.
//
// Invariant: no command is proposed while it lasts.
type recall struct {
	freshAt   time.Duration       // when the view was first fresh in it; negative before
	grownAt   time.Duration       // when the view last named another adapter
	asked     map[string]*timeAsk // by life of an adapter
	isHeard   bool                // an adapter has answered
	heardAt   time.Duration       // when the first did
	isKnown   bool                // a word counted
	knownAt   time.Duration       // when one counted that was not on its way for long; negative before
	isTelling bool                // the time is as known as it will be
	tellUntil time.Duration
}

// timeAsk is one adapter's part in a recall.
type timeAsk struct {
	sentAt     time.Duration
	isAnswered bool
	isFailed   bool // the ask or its answer was lost
}

// IsOwner reports whether the store owns the place and knows its time.
func (g *timedGroup) IsOwner() bool { return g.recall == nil && g.Hosting.IsOwner() }

// Propose refuses what comes before the place's time is known.
func (g *timedGroup) Propose(data []byte, tell func(verdict any, err error)) {
	if g.recall != nil {
		tell(nil, errs.New(errs.NotOwner, "the place's time is not known yet"))
		return
	}
	g.Hosting.Propose(data, tell)
}

// beginRecall asks adapters for the place's time: the newest command in the log may be from long ago.
func (p *PlaceHost) beginRecall() {
	p.host.recall = &recall{freshAt: -1, knownAt: -1, asked: map[string]*timeAsk{}}
	p.stepRecall(p.environment.Now())
}

// stepRecall asks those adapters that have become members, and ends the wait once none is left that may know.
func (p *PlaceHost) stepRecall(now time.Duration) {
	r := p.host.recall
	if r == nil {
		return
	}
	if r.isTelling {
		if now >= r.tellUntil {
			p.endRecall()
			return
		}
		p.tellTime(now)
		return
	}
	isFresh := p.environment.IsFresh()
	if isFresh && r.freshAt < 0 {
		r.freshAt = now
	}
	keepers := p.keepers(2 * mostKeepers)
	r.forget(keepers)
	for _, who := range keepers {
		p.askTime(r, who, now)
	}
	if r.isSettled(now, p.environment.Bounds()) || isFresh && r.isOver(now, p.environment.Bounds()) {
		p.concludeRecall(now)
	}
}

// forget drops the asks that failed of adapters that are no members any more.
func (r *recall) forget(members []wire.Who) {
	for boot, ask := range r.asked {
		if ask.isFailed && !slices.ContainsFunc(members, func(who wire.Who) bool { return who.Boot == boot }) {
			delete(r.asked, boot)
		}
	}
}

// isSettled reports whether the time is known and no other adapter is to be waited for: one that stood still as it was
// told the time is behind those that did not.
func (r *recall) isSettled(now time.Duration, bounds timing.Bounds) bool {
	if r.knownAt < 0 {
		return false
	}
	isOpen := func(ask *timeAsk) bool { return !ask.isAnswered && !ask.isFailed }
	return now-r.knownAt >= bounds.Of(timing.RecallRest) || !slices.ContainsFunc(slices.Collect(maps.Values(r.asked)), isOpen)
}

// isOver reports, with a fresh view, whether there is nobody left to wait for.
func (r *recall) isOver(now time.Duration, bounds timing.Bounds) bool {
	limit := timing.RecallAlone
	if r.isHeard {
		limit = timing.RecallLimit
	}
	switch waited := now - max(r.freshAt, r.heardAt); { // the first to answer after a silence need not be one that knows
	case waited >= bounds.Of(limit):
		return true
	case now-r.grownAt < bounds.Of(timing.Recall), len(r.asked) == 0:
		return false // managers that have just started may not know all adapters yet
	}
	for _, ask := range r.asked {
		if !ask.isAnswered {
			return false
		}
	}
	return true
}

// concludeRecall goes on with what is known by now.
func (p *PlaceHost) concludeRecall(now time.Duration) {
	if !p.host.recall.isKnown {
		recalls.WithLabelValues("false").Inc()
		p.isUntimed.Store(true)
		klog.Infof("place: Nobody knows the time of place %d; what has passed since its newest command is lost, or was none.", p.number)
	}
	p.tellFirst(now)
}

// askTime asks an adapter, again where that failed a while ago.
func (p *PlaceHost) askTime(r *recall, who wire.Who, now time.Duration) {
	pause := p.environment.Bounds().Of(timing.Redial)
	switch known := r.asked[who.Boot]; {
	case known == nil:
		r.grownAt = now
	case !known.isFailed || now-known.sentAt < pause:
		return
	}
	ask := &timeAsk{sentAt: now}
	err := p.environment.Post(who, &wire.AskTime{Group: p.group()}, func(reply any, _ error) {
		_ = p.host.Do(func() { p.heardTime(r, ask, who, reply) })
	})
	switch {
	case err == nil:
		r.asked[who.Boot] = ask
	case errs.Is(err, errs.Rejected): // an older build
		r.asked[who.Boot] = &timeAsk{isAnswered: true}
		r.noteHeard(now)
	default:
		r.asked[who.Boot] = &timeAsk{sentAt: now, isFailed: true}
	}
}

// heardTime takes in an adapter's answer.
func (p *PlaceHost) heardTime(r *recall, ask *timeAsk, who wire.Who, reply any) {
	if p.host.recall != r || r.isTelling { // an answer that came too late would make spans short that have begun
		return
	}
	now := p.environment.Now()
	if kept, isKept := reply.(*wire.TimeKept); isKept {
		ask.isAnswered = true
		r.noteHeard(now)
		p.heardWord(r, ask, who, kept, now)
	} else {
		ask.isFailed = true
	}
	if r.isSettled(now, p.environment.Bounds()) {
		p.concludeRecall(now)
	}
}

// noteHeard notes that an adapter has answered.
func (r *recall) noteHeard(now time.Duration) {
	if !r.isHeard {
		r.isHeard, r.heardAt = true, now
	}
}

// heardWord has the place's time go on from a word that counts. One that may have been on its way for long, since this store
// or the adapter stood still, is asked for again.
func (p *PlaceHost) heardWord(r *recall, ask *timeAsk, who wire.Who, kept *wire.TimeKept, now time.Duration) {
	switch {
	case kept.Term == 0 || !p.goOnFrom(r, kept, who, now):
	case now-ask.sentAt > p.environment.Bounds().Of(timing.Recall):
		delete(r.asked, who.Boot)
	case r.knownAt < 0:
		r.knownAt = now
	}
}

// goOnFrom has the place's time go on from a word, and reports whether that counts.
func (p *PlaceHost) goOnFrom(r *recall, kept *wire.TimeKept, who wire.Who, now time.Duration) bool {
	gained, err := p.clock.Recall(groupclock.Word{Term: kept.Term, Reading: kept.Reading},
		groupclock.Ownership{Term: p.host.Term(), Newest: p.host.DataTerm()}, now)
	if err != nil {
		klog.V(1).Infof("place: What %s tells of the time of place %d does not count: %v.", who.Name, p.number, err)
		return false
	}
	if !r.isKnown {
		r.isKnown = true
		recalls.WithLabelValues("true").Inc()
	}
	recalled.Add(gained.Seconds())
	if gained > p.environment.Bounds().Of(timing.Recall) {
		klog.Infof("place: Place %d goes on %v later than its log tells, by what %s knows.", p.number, gained, who.Name)
	}
	return true
}

// endRecall begins the ownership.
func (p *PlaceHost) endRecall() {
	p.host.recall = nil
	p.begin(true)
}
