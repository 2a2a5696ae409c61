package limit

import (
	"context"
	"time"

	"caperwheel/internal/errs"
	"caperwheel/internal/ownerclient"
	"caperwheel/internal/timing"
	"caperwheel/internal/wire"
)

// RequestDue asks what is due.
func (l *Limiter) RequestDue() {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.options.Now()
	l.requestFor(now, l.wallet.Tenants(now)...)
}

// requestFor sends what is due for tenants, those that one place counts in one message. l.mu is held.
func (l *Limiter) requestFor(now time.Duration, tenants ...string) {
	counts := map[int64][]wire.QuotaCount(nil)
	for _, tenant := range tenants {
		count, isDue := l.wallet.DueRequest(now, tenant)
		if !isDue {
			continue
		}
		if counts == nil {
			counts = map[int64][]wire.QuotaCount{}
		}
		place := PlaceOf(tenant, l.options.Places)
		counts[place] = append(counts[place], count)
	}
	for place, some := range counts {
		go l.request(now, &wire.QuotaAsk{Place: place, Holder: l.options.Holder, Lease: l.options.Bounds.Of(timing.QuotaLease).Milliseconds(), Counts: some})
	}
}

// request brings one ask to its place and takes the answer in.
func (l *Limiter) request(sentAt time.Duration, ask *wire.QuotaAsk) {
	ctx, cancel := context.WithTimeout(context.Background(), l.options.Bounds.Of(timing.AnswerTimeout))
	defer cancel()
	reply, err := l.options.RequestTokens(ctx, ask.Place, ask)
	countRequest(err)
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.options.Now()
	isAnswered := map[string]bool{}
	if err == nil {
		for _, grant := range reply.Grants {
			isAnswered[grant.Tenant] = true
			l.resolve(l.wallet.Answer(now, sentAt, grant))
		}
	}
	for _, count := range ask.Counts {
		if !isAnswered[count.Tenant] {
			l.resolve(l.wallet.Fail(now, sentAt, count.Tenant))
		}
		l.requestFor(now, count.Tenant)
	}
}

// ClientFor returns an Asker that finds owners through a reach.
func ClientFor(r *ownerclient.Client) TokenClient {
	return func(ctx context.Context, place int64, ask *wire.QuotaAsk) (*wire.QuotaGrants, error) {
		reply, err := r.CallOwner(ctx, wire.FirstPlaceGroup+place, ask, isOwner)
		if err != nil {
			return nil, err
		}
		grants, isGrants := reply.(*wire.QuotaGrants)
		switch {
		case !isGrants:
			return nil, errs.New(errs.Internal, "a %T answered an ask for tokens", reply)
		case grants.Kind != "":
			return nil, errs.New(errs.Kind(grants.Kind), "the place did not grant tokens")
		}
		return grants, nil
	}
}

// isOwner tells owners' answers from those of stores that name another.
func isOwner(reply any) (bool, string) {
	grants, isGrants := reply.(*wire.QuotaGrants)
	if !isGrants {
		return true, ""
	}
	return grants.Kind != string(errs.NotOwner), grants.Owner
}
