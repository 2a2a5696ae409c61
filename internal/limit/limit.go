// Package limit enforces tenants' rate limits at an adapter, with tokens that the owners of places grant to it. The
// decisions are those of package quota; this package holds the adapter's cache of tokens, sends its requests for
// tokens and makes messages wait for them. The adapter daemon (cmd/adapter) calls it, through package intake.
package limit

import (
	"context"
	"hash/fnv"
	"sync"
	"time"

	"caperwheel/internal/config"
	"caperwheel/internal/errs"
	"caperwheel/internal/intake"
	"caperwheel/internal/quota"
	"caperwheel/internal/timing"
	"caperwheel/internal/wire"
)

// TokenClient sends a token request to the owner of a place.
type TokenClient func(ctx context.Context, place int64, ask *wire.QuotaAsk) (*wire.QuotaGrants, error)

// Options configure a Limiter.
type Options struct {
	Holder        string // boot of the adapter, to which tokens are leased
	Places        int    // number of places in the deployment
	Bounds        timing.Bounds
	Now           func() time.Duration // a monotonic clock
	RequestTokens TokenClient
}

// Limiter admits messages at one adapter. It implements intake.Limiter.
//
// Invariant: waits has a channel with room for one decision for each message that waits in the token cache.
type Limiter struct {
	options Options

	mu         sync.Mutex
	tokenCache *quota.TokenCache
	waits      map[int64]chan quota.Decision
}

// New returns a limiter that holds no tokens yet.
func New(o Options) *Limiter {
	times := quota.Times{Lease: o.Bounds.Of(timing.QuotaLease), Pause: o.Bounds.Of(timing.QuotaMinInterval), Answer: o.Bounds.Of(timing.QuotaAnswerTimeout),
		Horizon: o.Bounds.Of(timing.QuotaHorizon)}
	return &Limiter{options: o, tokenCache: quota.NewTokenCache(times), waits: map[int64]chan quota.Decision{}}
}

// PlaceOf returns the place that counts a tenant's messages.
func PlaceOf(tenant string, places int) int64 {
	h := fnv.New64a()
	h.Write([]byte("quota\x00" + tenant))
	return int64(h.Sum64() % uint64(places))
}

// Run sends due requests at intervals until ctx ends.
func (l *Limiter) Run(ctx context.Context) {
	timing.Every(ctx, l.options.Bounds.Of(timing.QuotaPollInterval), l.RequestDue)
}

// Admit implements intake.Limiter.
func (l *Limiter) Admit(ctx context.Context, tenant config.Tenant) (intake.Permit, error) {
	if tenant.Rate <= 0 {
		return intake.Unlimited{}.Admit(ctx, tenant)
	}
	decision, wait := l.take(tenant.Name)
	if wait != nil {
		decision = l.await(ctx, tenant.Name, decision.Waiting, wait)
	}
	countAdmission(decision, wait != nil)
	switch decision.Refusal {
	case "":
		return &permit{l, tenant.Name, decision.Epoch}, nil
	case errs.OverQuota:
		return nil, errs.New(errs.OverQuota, "message refused: the tenant's rate limit is exhausted")
	}
	return nil, errs.New(errs.Lost, "message refused: no decision on the tenant's rate limit in time")
}

// take asks the token cache for a token. If the message must wait, it also returns the channel for the decision.
func (l *Limiter) take(tenant string) (quota.Decision, chan quota.Decision) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.options.Now()
	decision := l.tokenCache.Take(now, tenant)
	var wait chan quota.Decision
	if decision.Waiting != 0 {
		wait = make(chan quota.Decision, 1)
		l.waits[decision.Waiting] = wait
	}
	l.requestFor(now, tenant)
	return decision, wait
}

// await waits for the decision on a message, up to timing.QuotaWaitTimeout.
func (l *Limiter) await(ctx context.Context, tenant string, number int64, wait chan quota.Decision) quota.Decision {
	ctx, cancel := timing.Within(ctx, l.options.Bounds.Of(timing.QuotaWaitTimeout))
	defer cancel()
	select {
	case decision := <-wait:
		return decision
	case <-ctx.Done():
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	select {
	case decision := <-wait: // it arrived meanwhile
		return decision
	default:
	}
	l.tokenCache.Cancel(tenant, number)
	delete(l.waits, number)
	return quota.Decision{Refusal: errs.Lost}
}

// resolve delivers decisions to the messages that wait for them. l.mu is held.
func (l *Limiter) resolve(decided []quota.Settled) {
	for _, s := range decided {
		l.waits[s.Number] <- s.Decision
		delete(l.waits, s.Number)
	}
}

// permit is the token that a message was admitted with.
type permit struct {
	limiter *Limiter
	tenant  string
	epoch   int64
}

// End implements intake.Permit.
func (p *permit) End(isCounted bool) {
	l := p.limiter
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.options.Now()
	l.resolve(l.tokenCache.End(now, p.tenant, p.epoch, isCounted))
	l.requestFor(now, p.tenant)
}
