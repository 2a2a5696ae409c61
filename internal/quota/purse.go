package quota

import (
	"math"
	"slices"
	"time"

	"caperwheel/internal/errs"
	"caperwheel/internal/wire"
)

// mostWaiting is how many messages of a tenant may wait for one answer.
const mostWaiting = 200

// renewPart: of the lease, what is left when it is renewed.
const renewPart = 3

// refillPart: of what an adapter would hold, what is left when it asks for more.
const refillPart = 3

// purse is an adapter's account of one tenant.
//
// Invariants: spent, returned and inFlight are at most granted together; nothing is spent but while isLeased and
// before leaseEnd; a message waits only while none is held.
type purse struct {
	tenant   string
	times    Times
	life     int64
	granted  int64
	spent    int64
	returned int64
	inFlight int64 // admitted, and it is not known yet whether they are accepted
	share    int64 // most to hold for messages to come, as the ledger told
	isLeased bool
	leaseEnd time.Duration
	demand   demand
	waiting  []int64

	isOpen    bool // the newest ask is not answered yet
	askedAt   time.Duration
	told      int64 // spent and returned, as the ledger is known to know
	asked     int64 // the same, as the newest ask told
	noneUntil time.Duration
	noneKind  errs.Kind // why messages are refused until then
	isShort   bool      // the ledger had less than was needed
}

func (p *purse) held() int64 { return p.granted - p.spent - p.returned - p.inFlight }

// target is how many tokens the purse would like to hold.
func (p *purse) target(now time.Duration) int64 {
	return p.demand.within(now, p.times.Horizon, p.times.Horizon)
}

// burst is how many messages come until the next ask may be sent.
func (p *purse) burst(now time.Duration) int64 {
	return p.demand.within(now, p.times.Pause, p.times.Horizon)
}

func (p *purse) isDue(now time.Duration) bool {
	switch {
	case p.isOpen && now-p.askedAt < p.times.Answer:
		return false
	case len(p.waiting) > 0:
		return true
	case p.askedAt > 0 && now-p.askedAt < p.times.Pause:
		return false
	}
	wanted := min(p.target(now), p.share)
	switch {
	case wanted > 0 && p.held()*refillPart <= wanted && now >= p.noneUntil:
		return true
	case wanted == 0 && p.spent+p.returned > p.told:
		return true
	}
	return p.isLeased && p.held()+p.inFlight > 0 && p.target(now) > 0 && p.leaseEnd-now < p.times.Lease/renewPart
}

// ask returns what to tell the ledger.
func (p *purse) ask(now time.Duration) wire.QuotaCount {
	p.isOpen, p.askedAt, p.asked = true, now, p.spent+p.returned
	need := int64(len(p.waiting))
	if need > 0 && p.isShort {
		need += p.burst(now)
	}
	return wire.QuotaCount{Tenant: p.tenant, Life: p.life, Spent: p.spent, Returned: p.returned, Need: p.granted + need, Target: p.target(now),
		InFlight: p.inFlight}
}

// close notes that the ask sent at a moment is over.
func (p *purse) close(sentAt time.Duration) {
	if p.askedAt == sentAt {
		p.isOpen = false
	}
}

func (p *purse) answer(now, sentAt time.Duration, grant wire.QuotaGrant) []Settled {
	p.granted = max(p.granted, grant.Granted)
	p.share, p.isLeased, p.leaseEnd = grant.Share, true, max(p.leaseEnd, sentAt+p.times.Lease)
	if p.askedAt == sentAt {
		p.told = p.asked
	}
	p.isShort = grant.Wait > 0
	settled := p.serve()
	if p.isShort {
		wait := max(time.Duration(grant.Wait)*time.Millisecond, p.times.Pause)
		return append(settled, p.refuse(errs.OverQuota, now+wait)...)
	}
	p.noneUntil = 0
	p.giveBack(now)
	return settled
}

// giveBack gives up what is held beyond the purse's share, for others to use.
func (p *purse) giveBack(now time.Duration) {
	keep := max(min(p.share, p.target(now)), p.burst(now))
	p.returned += max(0, p.held()-keep)
}

// serve admits messages that wait, the first first.
func (p *purse) serve() []Settled {
	count := int(min(int64(len(p.waiting)), max(0, p.held())))
	out := make([]Settled, 0, count)
	for _, number := range p.waiting[:count] {
		out = append(out, Settled{number, Decision{Life: p.life}})
	}
	p.inFlight += int64(count)
	p.waiting = p.waiting[count:]
	return out
}

// refuse refuses the messages that wait, and those that come before a moment and find no token.
func (p *purse) refuse(kind errs.Kind, until time.Duration) []Settled {
	out := make([]Settled, 0, len(p.waiting))
	for _, number := range p.waiting {
		out = append(out, Settled{number, Decision{Refusal: kind}})
	}
	p.waiting, p.noneUntil, p.noneKind = nil, until, kind
	return out
}

func (p *purse) cancel(number int64) {
	p.waiting = slices.DeleteFunc(p.waiting, func(other int64) bool { return other == number })
}

// isIdle reports whether nothing would be lost with the purse.
func (p *purse) isIdle(now time.Duration) bool {
	return !p.isLeased && len(p.waiting) == 0 && now >= p.noneUntil && !p.isOpen && p.target(now) == 0
}

// demand estimates how many messages come, weighing older ones less.
type demand struct {
	perSecond float64
	notedAt   time.Duration
}

// leastDemand is what counts as none, in messages within a horizon.
const leastDemand = 0.25

func (d *demand) note(now, horizon time.Duration) {
	span := 2 * horizon.Seconds()
	d.perSecond = d.at(now, horizon) + 1/span
	d.notedAt = now
}

func (d *demand) at(now, horizon time.Duration) float64 {
	return d.perSecond * math.Exp(-(now-d.notedAt).Seconds()/(2*horizon.Seconds()))
}

// within is how many messages are expected in a span, rounded up.
func (d *demand) within(now, span, horizon time.Duration) int64 {
	rate := d.at(now, horizon)
	if rate*horizon.Seconds() < leastDemand {
		return 0
	}
	return int64(math.Ceil(rate * span.Seconds()))
}
