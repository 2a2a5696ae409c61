package store

import (
	"cmp"
	"slices"
	"strconv"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"k8s.io/klog/v2"

	"caperwheel/internal/duty"
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

// mostKeepers is how many adapters keep a place's time; a new owner asks twice as many, since
// which adapters are members may have changed.
const mostKeepers = 8

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
	began     time.Duration
	asked     map[string]time.Duration // by life of an adapter: until when its answer is waited for; 0 once it has answered
	isTelling bool                     // the time is known
	tellUntil time.Duration
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

// timekeeping is whom an owner has told its place's time. Once is enough: the time of one
// ownership goes on with any steady clock.
type timekeeping struct {
	told   map[string]bool // by life of an adapter
	lookAt time.Duration
}

// keepers returns the adapters that keep the place's time, or should.
func (p *PlaceHost) keepers(most int) []wire.Who {
	all := p.environment.Adapters()
	if len(all) <= most {
		return all
	}
	key := "time/" + strconv.FormatInt(p.number, 10)
	ranked := slices.SortedFunc(slices.Values(all), func(a, b wire.Who) int {
		return cmp.Compare(duty.Rank(key, b.Name), duty.Rank(key, a.Name))
	})
	return ranked[:most]
}

func (p *PlaceHost) group() int64 { return wire.PlaceGroup + p.number }

// tellTime has adapters keep the place's time.
func (p *PlaceHost) tellTime(now time.Duration) {
	if now < p.time.lookAt {
		return
	}
	p.time.lookAt = now + p.environment.Bounds().Of(timing.TimeMark)
	told := p.time.told
	for _, who := range p.keepers(mostKeepers) {
		if told[who.Boot] {
			continue
		}
		word := &wire.TellTime{Group: p.group(), Term: p.host.Term(), Reading: p.now()}
		err := p.environment.Post(who, word, func(reply any, err error) {
			if ack, isAck := reply.(*wire.TimeTold); err == nil && isAck && ack.Kind == "" {
				_ = p.host.Do(func() { p.noteTold(told, who) })
			}
		})
		if errs.Is(err, errs.Rejected) { // an older build
			told[who.Boot] = true
		}
	}
}

// noteTold notes that an adapter keeps the time. The first that does lets the ownership begin.
func (p *PlaceHost) noteTold(told map[string]bool, who wire.Who) {
	told[who.Boot] = true
	if r := p.host.recall; r != nil && r.isTelling && p.time.told[who.Boot] {
		p.endRecall()
	}
}

// beginRecall asks adapters for the place's time: the newest command in the log may be from long ago.
func (p *PlaceHost) beginRecall() {
	now := p.environment.Now()
	p.host.recall = &recall{began: now, asked: map[string]time.Duration{}}
	p.stepRecall(now)
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
		}
		return
	}
	keepers := p.keepers(2 * mostKeepers)
	for _, who := range keepers {
		if _, isAsked := r.asked[who.Boot]; !isAsked {
			p.askTime(r, who, now)
		}
	}
	if r.isOver(len(keepers), p.environment.IsFresh(), now, p.environment.Bounds()) {
		recalls.WithLabelValues("false").Inc()
		p.isUntimed.Store(true)
		klog.Infof("place: Nobody knows the time of place %d; what has passed since its newest command is lost, or was none.", p.number)
		p.tellFirst(now)
	}
}

// isOver reports whether there is nobody left to wait for.
func (r *recall) isOver(keepers int, isFresh bool, now time.Duration, bounds timing.Bounds) bool {
	switch waited := now - r.began; {
	case waited >= bounds.Of(timing.RecallLimit):
		return true
	case waited < bounds.Of(timing.Recall), keepers == 0, !isFresh, len(r.asked) < keepers:
		return false
	}
	for _, until := range r.asked {
		if now < until {
			return false
		}
	}
	return true
}

func (p *PlaceHost) askTime(r *recall, who wire.Who, now time.Duration) {
	err := p.environment.Post(who, &wire.AskTime{Group: p.group()}, func(reply any, _ error) {
		_ = p.host.Do(func() { p.heardTime(r, who, reply) })
	})
	switch {
	case err == nil:
		r.asked[who.Boot] = now + p.environment.Bounds().Of(timing.Recall)
	case errs.Is(err, errs.Rejected): // an older build
		r.asked[who.Boot] = 0
	}
}

// heardTime takes in an adapter's answer. The first that counts is enough: all that heard of one
// ownership know the same.
func (p *PlaceHost) heardTime(r *recall, who wire.Who, reply any) {
	if p.host.recall != r || r.isTelling { // an answer that came too late would make spans short that have begun
		return
	}
	isLate := p.environment.Now() > r.asked[who.Boot] // this store stood still: what it is told was so when it was answered
	r.asked[who.Boot] = 0
	kept, isKept := reply.(*wire.TimeKept)
	if !isKept || kept.Term == 0 {
		return
	}
	gained, err := p.clock.Recall(groupclock.Word{Term: kept.Term, Reading: kept.Reading},
		groupclock.Ownership{Term: p.host.Term(), Newest: p.host.DataTerm()}, p.environment.Now())
	if err != nil {
		klog.V(1).Infof("place: What %s tells of the time of place %d does not count: %v.", who.Name, p.number, err)
		return
	}
	if isLate {
		delete(r.asked, who.Boot) // asked again
		return
	}
	recalls.WithLabelValues("true").Inc()
	recalled.Add(gained.Seconds())
	if gained > p.environment.Bounds().Of(timing.Recall) {
		klog.Infof("place: Place %d goes on %v later than its log tells, by what %s knows.", p.number, gained, who.Name)
	}
	p.tellFirst(p.environment.Now())
}

// tellFirst has adapters keep the time, now that it is known, before the first command is proposed.
func (p *PlaceHost) tellFirst(now time.Duration) {
	r := p.host.recall
	r.isTelling, r.tellUntil = true, now+p.environment.Bounds().Of(timing.Recall)
	p.time = timekeeping{told: map[string]bool{}}
	p.tellTime(now)
	if len(p.time.told) == len(p.keepers(mostKeepers)) { // nobody is to answer: there are none, or of older builds
		p.endRecall()
	}
}

// endRecall begins the ownership.
func (p *PlaceHost) endRecall() {
	p.host.recall = nil
	p.begin(true)
}
