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
	Life    int64     // of the account, where the message is admitted
	Waiting int64     // number of the wait, where the message waits for an answer; else 0
	Refusal errs.Kind // errs.OverQuota or errs.Lost, where the message is refused
}

// Settled is the decision for a message that has waited.
type Settled struct {
	Number int64
	Decision
}

// Wallet is the tokens that one life of an adapter holds, by tenant. Moments are those of the adapter's steady
// clock and never go back.
//
// Invariant: a life of an account is used once in a wallet: whatever was granted in it ends with it.
type Wallet struct {
	times  Times
	purses map[string]*purse
	lives  int64
	waits  int64
}

// NewWallet returns a wallet that holds nothing.
func NewWallet(times Times) *Wallet { return &Wallet{times: times, purses: map[string]*purse{}} }

// Held returns how many tokens are held for messages to come.
func (w *Wallet) Held() int64 {
	sum := int64(0)
	for _, p := range w.purses {
		sum += p.held()
	}
	return sum
}

// Take asks for a token for one message of a tenant. If it is to wait, Answer, Fail or End settles it.
func (w *Wallet) Take(now time.Duration, tenant string) Decision {
	p := w.purses[tenant]
	if p == nil {
		p = &purse{tenant: tenant, times: w.times, life: w.nextLife()}
		w.purses[tenant] = p
	}
	w.refresh(p, now)
	p.demand.note(now, w.times.Horizon)
	switch {
	case p.held() > 0:
		p.inFlight++
		return Decision{Life: p.life}
	case now < p.noneUntil:
		return Decision{Refusal: p.noneKind}
	case len(p.waiting) >= mostWaiting:
		return Decision{Refusal: errs.OverQuota}
	}
	w.waits++
	p.waiting = append(p.waiting, w.waits)
	return Decision{Waiting: w.waits}
}

// Cancel ends the wait of a message that waits no longer.
func (w *Wallet) Cancel(tenant string, number int64) {
	if p := w.purses[tenant]; p != nil {
		p.cancel(number)
	}
}

// End tells what became of a message that was admitted: accepted, or not, and then its token is held again.
func (w *Wallet) End(now time.Duration, tenant string, life int64, isCounted bool) []Settled {
	p := w.purses[tenant]
	if p == nil {
		return nil
	}
	w.refresh(p, now)
	if p.life != life {
		return nil // its token was spent when that life ended
	}
	p.inFlight--
	if isCounted {
		p.spent++
	}
	return p.serve()
}

// Due returns what to tell and ask of a tenant now, and false if nothing is due. The ask counts as sent at now.
func (w *Wallet) Due(now time.Duration, tenant string) (wire.QuotaCount, bool) {
	p := w.purses[tenant]
	if p == nil {
		return wire.QuotaCount{}, false
	}
	w.refresh(p, now)
	if !p.isDue(now) {
		return wire.QuotaCount{}, false
	}
	return p.ask(now), true
}

// Tenants returns those that the wallet has an account of, and forgets the accounts that are used no more.
func (w *Wallet) Tenants(now time.Duration) []string {
	out := []string{}
	for tenant, p := range w.purses {
		w.refresh(p, now)
		if p.isIdle(now) {
			delete(w.purses, tenant)
			continue
		}
		out = append(out, tenant)
	}
	return out
}

// Answer takes in a grant for an ask that was sent at a moment, and returns the messages that it settles.
func (w *Wallet) Answer(now, sentAt time.Duration, grant wire.QuotaGrant) []Settled {
	p := w.purses[grant.Tenant]
	if p == nil {
		return nil
	}
	w.refresh(p, now)
	p.close(sentAt)
	if grant.Life != p.life || sentAt+w.times.Lease <= now {
		return nil // the ledger may have dropped what this grants
	}
	return p.answer(now, sentAt, grant)
}

// Fail tells that an ask sent at a moment came to nothing. Messages that wait are refused.
func (w *Wallet) Fail(now, sentAt time.Duration, tenant string) []Settled {
	p := w.purses[tenant]
	if p == nil || p.askedAt != sentAt {
		return nil
	}
	p.close(sentAt)
	return p.refuse(errs.Lost, now+w.times.Pause)
}

// refresh begins a new life of an account whose lease is over: nothing of the old one may be spent.
func (w *Wallet) refresh(p *purse, now time.Duration) {
	if !p.isLeased || now < p.leaseEnd {
		return
	}
	life := w.nextLife()
	*p = purse{tenant: p.tenant, times: p.times, life: life, share: p.share, demand: p.demand, waiting: p.waiting, isOpen: p.isOpen,
		askedAt: p.askedAt, noneUntil: p.noneUntil, noneKind: p.noneKind, isShort: p.isShort}
}

func (w *Wallet) nextLife() int64 {
	w.lives++
	return w.lives
}

// Count returns how many accounts the wallet has.
func (w *Wallet) Count() int { return len(w.purses) }

// Clone returns a copy.
func (w *Wallet) Clone() *Wallet {
	out := *w
	out.purses = maps.Clone(w.purses)
	for tenant, p := range w.purses {
		copied := *p
		copied.waiting = append([]int64(nil), p.waiting...)
		out.purses[tenant] = &copied
	}
	return &out
}
