package limit

import (
	"context"
	"time"

	"caperwheel/internal/errs"
	"caperwheel/internal/ownerclient"
	"caperwheel/internal/timing"
	"caperwheel/internal/wire"
)

// RequestDue sends the token requests that are due.
func (l *Limiter) RequestDue() {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.options.Now()
	l.requestFor(now, l.tokenCache.Tenants(now)...)
}

// requestFor sends the due requests for tenants, one message per place. l.mu is held.
func (l *Limiter) requestFor(now time.Duration, tenants ...string) {
	counts := map[int64][]wire.QuotaCount(nil)
	for _, tenant := range tenants {
		count, isDue := l.tokenCache.DueRequest(now, tenant)
		if !isDue {
			continue
		}
		if counts == nil {
			counts = map[int64][]wire.QuotaCount{}
		}
		place := PlaceOf(tenant, l.options.Places)
		counts[place] = append(counts[place], count)
	}
	for place, due := range counts {
		go l.request(now, &wire.QuotaAsk{Place: place, Holder: l.options.Holder, Lease: l.options.Bounds.Of(timing.QuotaLease).Milliseconds(), Counts: due})
	}
}

// request sends one request to the owner of its place and applies the answer. A tenant without a grant in the answer
// counts as failed.
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
			l.resolve(l.tokenCache.Answer(now, sentAt, grant))
		}
	}
	for _, count := range ask.Counts {
		if !isAnswered[count.Tenant] {
			l.resolve(l.tokenCache.Fail(now, sentAt, count.Tenant))
		}
		l.requestFor(now, count.Tenant)
	}
}

// ClientFor returns a TokenClient that finds owners by an ownerclient.Client.
func ClientFor(client *ownerclient.Client) TokenClient {
	return func(ctx context.Context, place int64, ask *wire.QuotaAsk) (*wire.QuotaGrants, error) {
		reply, err := client.CallOwner(ctx, wire.FirstPlaceGroup+place, ask, isOwner)
		if err != nil {
			return nil, err
		}
		grants, isGrants := reply.(*wire.QuotaGrants)
		switch {
		case !isGrants:
			return nil, errs.New(errs.Internal, "request tokens: unexpected reply of type %T", reply)
		case grants.Kind != "":
			return nil, errs.New(errs.Kind(grants.Kind), "request tokens: the place's owner refused")
		}
		return grants, nil
	}
}

// isOwner reports whether a reply comes from the owner of the place, and otherwise which store it names.
func isOwner(reply any) (bool, string) {
	grants, isGrants := reply.(*wire.QuotaGrants)
	if !isGrants {
		return true, ""
	}
	return grants.Kind != string(errs.NotOwner), grants.Owner
}
