package limit

import (
	"context"
	"time"

	"caperwheel/internal/errs"
	"caperwheel/internal/reach"
	"caperwheel/internal/timing"
	"caperwheel/internal/wire"
)

// Turn asks what is due.
func (l *Limits) Turn() {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.o.Now()
	l.askFor(now, l.wallet.Tenants(now)...)
}

// askFor sends what is due for tenants, those that one place counts in one message. l.mu is held.
func (l *Limits) askFor(now time.Duration, tenants ...string) {
	counts := map[int64][]wire.QuotaCount(nil)
	for _, tenant := range tenants {
		count, isDue := l.wallet.Due(now, tenant)
		if !isDue {
			continue
		}
		if counts == nil {
			counts = map[int64][]wire.QuotaCount{}
		}
		place := PlaceOf(tenant, l.o.Places)
		counts[place] = append(counts[place], count)
	}
	for place, some := range counts {
		go l.ask(now, &wire.QuotaAsk{Place: place, Holder: l.o.Holder, Lease: l.o.Bounds.Of(timing.QuotaLease).Milliseconds(), Counts: some})
	}
}

// ask brings one ask to its place and takes the answer in.
func (l *Limits) ask(sentAt time.Duration, ask *wire.QuotaAsk) {
	ctx, cancel := context.WithTimeout(context.Background(), l.o.Bounds.Of(timing.AnswerTimeout))
	defer cancel()
	reply, err := l.o.Ask(ctx, ask.Place, ask)
	countAsk(err)
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.o.Now()
	isAnswered := map[string]bool{}
	if err == nil {
		for _, grant := range reply.Grants {
			isAnswered[grant.Tenant] = true
			l.settle(l.wallet.Answer(now, sentAt, grant))
		}
	}
	for _, count := range ask.Counts {
		if !isAnswered[count.Tenant] {
			l.settle(l.wallet.Fail(now, sentAt, count.Tenant))
		}
		l.askFor(now, count.Tenant)
	}
}

// Through returns an Asker that finds owners through a reach.
func Through(r *reach.Reach) Asker {
	return func(ctx context.Context, place int64, ask *wire.QuotaAsk) (*wire.QuotaGrants, error) {
		reply, err := r.Group(ctx, wire.PlaceGroup+place, ask, isOwner)
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
