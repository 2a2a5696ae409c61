package quota

import (
	"math"
	"slices"
	"time"

	"caperwheel/internal/errs"
	"caperwheel/internal/wire"
)

// maxWaitingMessages is how many messages of a tenant may wait for tokens.
const maxWaitingMessages = 200

// renewDivisor is the divisor of the lease: it is renewed when less than this part is left.
const renewDivisor = 3

// refillDivisor is the divisor of the wanted tokens: more are requested when no more than this part is left.
const refillDivisor = 3

// tenantTokens holds an adapter's tokens of one tenant.
//
// Invariants: spent, returned and inFlight are at most granted together; tokens are spent only while isLeased and
// before leaseEnd; a message waits only while no token is held.
type tenantTokens struct {
	tenant   string
	times    Times
	epoch    int64
	granted  int64
	spent    int64
	returned int64
	inFlight int64 // admitted messages that are neither accepted nor rejected yet
	share    int64 // the most tokens to hold ahead, as granted last
	isLeased bool
	leaseEnd time.Duration // tokens may be spent before this
	demand   demandEstimate
	waiting  []int64 // numbers of the waiting messages, in order

	isAskOpen         bool          // the newest request is not answered yet
	askedAt           time.Duration // when the newest request was sent
	reportedCount     int64         // spent and returned tokens, as last acknowledged by the allocator
	lastReportedCount int64         // spent and returned tokens, as sent in the newest request
	refuseUntil       time.Duration
	refusalKind       errs.Kind // why messages are refused until then
	isShort           bool      // the allocator had fewer tokens than were needed
}

// held returns how many tokens can be spent now.
func (p *tenantTokens) held() int64 { return p.granted - p.spent - p.returned - p.inFlight }

// target returns how many tokens should be held ahead.
func (p *tenantTokens) target(now time.Duration) int64 {
	return p.demand.expectedWithin(now, p.times.Horizon, p.times.Horizon)
}

// expectedInPause returns how many messages are expected until the next request may be sent.
func (p *tenantTokens) expectedInPause(now time.Duration) int64 {
	return p.demand.expectedWithin(now, p.times.Pause, p.times.Horizon)
}

// isDue reports whether a request should be sent now.
func (p *tenantTokens) isDue(now time.Duration) bool {
	switch {
	case p.isAskOpen && now-p.askedAt < p.times.Answer:
		return false
	case len(p.waiting) > 0:
		return true
	case p.askedAt > 0 && now-p.askedAt < p.times.Pause:
		return false
	}
	wanted := min(p.target(now), p.share)
	switch {
	case wanted > 0 && p.held()*refillDivisor <= wanted && now >= p.refuseUntil:
		return true
	case wanted == 0 && p.spent+p.returned > p.reportedCount:
		return true
	}
	return p.isLeased && p.held()+p.inFlight > 0 && p.target(now) > 0 && p.leaseEnd-now < p.times.Lease/renewDivisor
}

// ask returns the report and request for the allocator.
func (p *tenantTokens) ask(now time.Duration) wire.QuotaCount {
	p.isAskOpen, p.askedAt, p.lastReportedCount = true, now, p.spent+p.returned
	need := int64(len(p.waiting))
	if need > 0 && p.isShort {
		need += p.expectedInPause(now)
	}
	return wire.QuotaCount{Tenant: p.tenant, Epoch: p.epoch, Spent: p.spent, Returned: p.returned, Need: p.granted + need, Target: p.target(now),
		InFlight: p.inFlight}
}

// close ends the request that was sent at sentAt.
func (p *tenantTokens) close(sentAt time.Duration) {
	if p.askedAt == sentAt {
		p.isAskOpen = false
	}
}

// answer applies a grant and returns the waiting messages that it settles.
func (p *tenantTokens) answer(now, sentAt time.Duration, grant wire.QuotaGrant) []Settled {
	p.granted = max(p.granted, grant.Granted)
	p.share, p.isLeased, p.leaseEnd = grant.Share, true, max(p.leaseEnd, sentAt+p.times.Lease)
	if p.askedAt == sentAt {
		p.reportedCount = p.lastReportedCount
	}
	p.isShort = grant.Wait > 0
	settled := p.admitWaiting()
	if p.isShort {
		wait := max(time.Duration(grant.Wait)*time.Millisecond, p.times.Pause)
		return append(settled, p.refuseWaiting(errs.OverQuota, now+wait)...)
	}
	p.refuseUntil = 0
	p.returnSurplus(now)
	return settled
}

// returnSurplus returns the tokens beyond the share, for use by other holders.
func (p *tenantTokens) returnSurplus(now time.Duration) {
	keep := max(min(p.share, p.target(now)), p.expectedInPause(now))
	p.returned += max(0, p.held()-keep)
}

// admitWaiting admits waiting messages in their order, as far as there are tokens.
func (p *tenantTokens) admitWaiting() []Settled {
	count := int(min(int64(len(p.waiting)), max(0, p.held())))
	out := make([]Settled, 0, count)
	for _, number := range p.waiting[:count] {
		out = append(out, Settled{number, Decision{Epoch: p.epoch}})
	}
	p.inFlight += int64(count)
	p.waiting = p.waiting[count:]
	return out
}

// refuseWaiting refuses the waiting messages, and until a moment those that find no token.
func (p *tenantTokens) refuseWaiting(kind errs.Kind, until time.Duration) []Settled {
	out := make([]Settled, 0, len(p.waiting))
	for _, number := range p.waiting {
		out = append(out, Settled{number, Decision{Refusal: kind}})
	}
	p.waiting, p.refuseUntil, p.refusalKind = nil, until, kind
	return out
}

func (p *tenantTokens) cancel(number int64) {
	p.waiting = slices.DeleteFunc(p.waiting, func(other int64) bool { return other == number })
}

// isIdle reports whether the state can be dropped without any loss.
func (p *tenantTokens) isIdle(now time.Duration) bool {
	return !p.isLeased && len(p.waiting) == 0 && now >= p.refuseUntil && !p.isAskOpen && p.target(now) == 0
}

// demandEstimate estimates the rate of messages by an exponentially weighted average.
type demandEstimate struct {
	perSecond float64
	notedAt   time.Duration
}

// minDemand is the number of expected messages within a horizon below which the demand counts as none.
const minDemand = 0.25

// note counts one message.
func (d *demandEstimate) note(now, horizon time.Duration) {
	span := 2 * horizon.Seconds()
	d.perSecond = d.rateAt(now, horizon) + 1/span
	d.notedAt = now
}

// rateAt returns the estimated messages a second.
func (d *demandEstimate) rateAt(now, horizon time.Duration) float64 {
	return d.perSecond * math.Exp(-(now-d.notedAt).Seconds()/(2*horizon.Seconds()))
}

// expectedWithin returns the number of messages expected in a span, rounded up.
func (d *demandEstimate) expectedWithin(now, span, horizon time.Duration) int64 {
	rate := d.rateAt(now, horizon)
	if rate*horizon.Seconds() < minDemand {
		return 0
	}
	return int64(math.Ceil(rate * span.Seconds()))
}
