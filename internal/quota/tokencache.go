package quota

import (
	"maps"
	"time"

	"caperwheel/internal/errs"
	"caperwheel/internal/wire"
)

// Times are the spans that a wallet works with.
type Times struct {
	Lease   time.Duration // what is held may be spent for so long after the ask
	Pause   time.Duration // least time between two asks for a tenant, but where a message waits
	Answer  time.Duration // an ask that is not answered within this is sent again
	Horizon time.Duration // tokens are held for the messages of this span
}

// Decision is what becomes of a message.
type Decision struct {
	Epoch   int64     // of the account, where the message is admitted
	Waiting int64     // number of the wait, where the message waits for an answer; else 0
	Refusal errs.Kind // errs.OverQuota or errs.Lost, where the message is refused
}

// Settled is the decision for a message that has waited.
type Settled struct {
	Number int64
	Decision
}

// TokenCache is the tokens that one life of an adapter holds, by tenant. Moments are those of the adapter's steady
// clock and never go back.
//
// Invariant: a life of an account is used once in a wallet: whatever was granted in it ends with it.
type TokenCache struct {
	times     Times
	tenants   map[string]*tenantTokens
	lastEpoch int64
	lastWait  int64
}

// NewTokenCache returns a wallet that holds nothing.
func NewTokenCache(times Times) *TokenCache {
	return &TokenCache{times: times, tenants: map[string]*tenantTokens{}}
}

// Held returns how many tokens are held for messages to come.
func (w *TokenCache) Held() int64 {
	sum := int64(0)
	for _, p := range w.tenants {
		sum += p.held()
	}
	return sum
}

// Take asks for a token for one message of a tenant. If it is to wait, Answer, Fail or End settles it.
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

// Cancel ends the wait of a message that waits no longer.
func (w *TokenCache) Cancel(tenant string, number int64) {
	if p := w.tenants[tenant]; p != nil {
		p.cancel(number)
	}
}

// End tells what became of a message that was admitted: accepted, or not, and then its token is held again.
func (w *TokenCache) End(now time.Duration, tenant string, epoch int64, isCounted bool) []Settled {
	p := w.tenants[tenant]
	if p == nil {
		return nil
	}
	w.expireLease(p, now)
	if p.epoch != epoch {
		return nil // its token was spent when that life ended
	}
	p.inFlight--
	if isCounted {
		p.spent++
	}
	return p.admitWaiting()
}

// DueRequest returns what to tell and ask of a tenant now, and false if nothing is due. The ask counts as sent at now.
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

// Tenants returns those that the wallet has an account of, and forgets the accounts that are used no more.
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

// Answer takes in a grant for an ask that was sent at a moment, and returns the messages that it settles.
func (w *TokenCache) Answer(now, sentAt time.Duration, grant wire.QuotaGrant) []Settled {
	p := w.tenants[grant.Tenant]
	if p == nil {
		return nil
	}
	w.expireLease(p, now)
	p.close(sentAt)
	if grant.Epoch != p.epoch || sentAt+w.times.Lease <= now {
		return nil // the ledger may have dropped what this grants
	}
	return p.answer(now, sentAt, grant)
}

// Fail tells that an ask sent at a moment came to nothing. Messages that wait are refused.
func (w *TokenCache) Fail(now, sentAt time.Duration, tenant string) []Settled {
	p := w.tenants[tenant]
	if p == nil || p.askedAt != sentAt {
		return nil
	}
	p.close(sentAt)
	return p.refuseWaiting(errs.Lost, now+w.times.Pause)
}

// expireLease begins a new life of an account whose lease is over: nothing of the old one may be spent.
func (w *TokenCache) expireLease(p *tenantTokens, now time.Duration) {
	if !p.isLeased || now < p.leaseEnd {
		return
	}
	epoch := w.nextEpoch()
	*p = tenantTokens{tenant: p.tenant, times: p.times, epoch: epoch, share: p.share, demand: p.demand, waiting: p.waiting, isRequestOpen: p.isRequestOpen,
		askedAt: p.askedAt, refuseUntil: p.refuseUntil, refusalKind: p.refusalKind, isShort: p.isShort}
}

func (w *TokenCache) nextEpoch() int64 {
	w.lastEpoch++
	return w.lastEpoch
}

// Count returns how many accounts the wallet has.
func (w *TokenCache) Count() int { return len(w.tenants) }

// Clone returns a copy.
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
