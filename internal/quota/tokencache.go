package quota

import (
	"maps"
	"time"

	"caperwheel/internal/errs"
	"caperwheel/internal/wire"
)

// Times are the time spans of a token cache.
type Times struct {
	Lease   time.Duration // tokens may be spent for this long after the request was sent
	Pause   time.Duration // least time between two requests for a tenant without waiting messages
	Answer  time.Duration // a request that is not answered within this is sent again
	Horizon time.Duration // tokens are held for the messages of this span
}

// Decision is the decision for a message: admitted, waiting, or refused.
type Decision struct {
	Epoch   int64     // epoch of the token, if the message is admitted
	Waiting int64     // number of the wait, if the message waits for tokens; else 0
	Refusal errs.Kind // errs.OverQuota or errs.Lost, if the message is refused
}

// Settled is the decision for a message that has waited.
type Settled struct {
	Number int64
	Decision
}

// TokenCache holds the tokens of one incarnation of an adapter, by tenant. Moments are those of the adapter's steady
// clock and never go back.
//
// Invariant: each epoch is used once: tokens that were granted in it expire with it.
type TokenCache struct {
	times     Times
	tenants   map[string]*tenantTokens
	lastEpoch int64
	lastWait  int64
}

// NewTokenCache returns an empty token cache.
func NewTokenCache(times Times) *TokenCache {
	return &TokenCache{times: times, tenants: map[string]*tenantTokens{}}
}

// Held returns how many tokens are held ahead.
func (w *TokenCache) Held() int64 {
	sum := int64(0)
	for _, p := range w.tenants {
		sum += p.held()
	}
	return sum
}

// Take takes a token for one message of a tenant. If the message must wait, a later call of Answer, Fail or End
// settles it.
func (w *TokenCache) Take(now time.Duration, tenant string) Decision {
	p := w.tenants[tenant]
	if p == nil {
		p = &tenantTokens{tenant: tenant, times: w.times, epoch: w.nextEpoch()}
		w.tenants[tenant] = p
	}
	w.expireLease(p, now)
	p.demand.note(now, w.times.Horizon)
	switch {
	case p.held() > 0:
		p.inFlight++
		return Decision{Epoch: p.epoch}
	case now < p.refuseUntil:
		return Decision{Refusal: p.refusalKind}
	case len(p.waiting) >= maxWaitingMessages:
		return Decision{Refusal: errs.OverQuota}
	}
	w.lastWait++
	p.waiting = append(p.waiting, w.lastWait)
	return Decision{Waiting: w.lastWait}
}

// Cancel ends the wait of a message.
func (w *TokenCache) Cancel(tenant string, number int64) {
	if p := w.tenants[tenant]; p != nil {
		p.cancel(number)
	}
}

// End ends a message that was admitted. If it was accepted, its token is spent; otherwise the token is held again. End
// returns the waiting messages that this settles.
func (w *TokenCache) End(now time.Duration, tenant string, epoch int64, isAccepted bool) []Settled {
	p := w.tenants[tenant]
	if p == nil {
		return nil
	}
	w.expireLease(p, now)
	if p.epoch != epoch {
		return nil // its token counted as spent when that epoch ended
	}
	p.inFlight--
	if isAccepted {
		p.spent++
	}
	return p.admitWaiting()
}

// DueRequest returns the request for a tenant that is due now, and false if none is. The request counts as sent at now.
func (w *TokenCache) DueRequest(now time.Duration, tenant string) (wire.QuotaCount, bool) {
	p := w.tenants[tenant]
	if p == nil {
		return wire.QuotaCount{}, false
	}
	w.expireLease(p, now)
	if !p.isDue(now) {
		return wire.QuotaCount{}, false
	}
	return p.ask(now), true
}

// Tenants returns the tenants with state in the cache, and drops those that are idle.
func (w *TokenCache) Tenants(now time.Duration) []string {
	out := []string{}
	for tenant, p := range w.tenants {
		w.expireLease(p, now)
		if p.isIdle(now) {
			delete(w.tenants, tenant)
			continue
		}
		out = append(out, tenant)
	}
	return out
}

// Answer applies the grant for a request that was sent at sentAt, and returns the waiting messages that it settles.
func (w *TokenCache) Answer(now, sentAt time.Duration, grant wire.QuotaGrant) []Settled {
	p := w.tenants[grant.Tenant]
	if p == nil {
		return nil
	}
	w.expireLease(p, now)
	p.close(sentAt)
	if grant.Epoch != p.epoch || sentAt+w.times.Lease <= now {
		return nil // the allocator may have dropped this holder
	}
	return p.answer(now, sentAt, grant)
}

// Fail ends a request that got no answer. Waiting messages are refused.
func (w *TokenCache) Fail(now, sentAt time.Duration, tenant string) []Settled {
	p := w.tenants[tenant]
	if p == nil || p.askedAt != sentAt {
		return nil
	}
	p.close(sentAt)
	return p.refuseWaiting(errs.Lost, now+w.times.Pause)
}

// expireLease starts a new epoch if the lease is over, because tokens of the old epoch must not be spent.
func (w *TokenCache) expireLease(p *tenantTokens, now time.Duration) {
	if !p.isLeased || now < p.leaseEnd {
		return
	}
	epoch := w.nextEpoch()
	*p = tenantTokens{tenant: p.tenant, times: p.times, epoch: epoch, share: p.share, demand: p.demand, waiting: p.waiting, isAskOpen: p.isAskOpen,
		askedAt: p.askedAt, refuseUntil: p.refuseUntil, refusalKind: p.refusalKind, isShort: p.isShort}
}

func (w *TokenCache) nextEpoch() int64 {
	w.lastEpoch++
	return w.lastEpoch
}

// Count returns the number of tenants with state in the cache.
func (w *TokenCache) Count() int { return len(w.tenants) }

// Clone returns a deep copy.
func (w *TokenCache) Clone() *TokenCache {
	out := *w
	out.tenants = maps.Clone(w.tenants)
	for tenant, p := range w.tenants {
		copied := *p
		copied.waiting = append([]int64(nil), p.waiting...)
		out.tenants[tenant] = &copied
	}
	return &out
}
