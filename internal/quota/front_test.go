package quota

import (
	"fmt"
	"time"

	"caperwheel/internal/wire"
)

// holder is the life of the front as the ledger knows it.
func (f *front) holder() string { return fmt.Sprintf("%s/%d", f.name, f.life) }

// check tells whether the front may spend, or is spending, what the ledger does not have it hold.
func (f *front) check() string {
	p, known := f.wallet.purses["t"], int64(0)
	if a := f.w.ledger.accounts["t"]; a != nil {
		if i, isKnown := a.find(f.holder()); isKnown && a.Holders[i].Life == p.life {
			known = a.Holders[i].held()
		}
	}
	if p.held()+p.inFlight > known || p.inFlight < 0 || p.held() < 0 {
		return fmt.Sprintf("%v: %s holds %d and %d are in flight, and the ledger knows of %d", f.w.now, f.holder(), p.held(), p.inFlight, known)
	}
	return ""
}

func (f *front) restart() {
	if !f.w.flaws.keepsTokens {
		f.wallet = NewWallet(testTimes)
	}
	if !f.w.flaws.sharesHolder {
		f.life++
	}
	f.waiting, f.frozenUntil = map[int64]bool{}, 0
}

// thawed has work done once the front is not frozen.
func (f *front) thawed(work func()) {
	if wait := f.frozenUntil - f.w.now; wait > 0 {
		f.w.after(wait, func() { f.thawed(work) })
		return
	}
	work()
}

func (f *front) tick() {
	f.thawed(func() {
		for _, tenant := range f.wallet.Tenants(f.w.now) {
			f.askIfDue(tenant)
		}
	})
	f.w.after(testTick, f.tick)
}

func (f *front) message() {
	f.thawed(func() {
		f.w.messages++
		decision := f.wallet.Take(f.w.now, "t")
		switch {
		case decision.Waiting != 0:
			f.waiting[decision.Waiting] = true
			life := f.life
			f.w.after(testPatience, func() {
				if f.life == life && f.waiting[decision.Waiting] {
					f.wallet.Cancel("t", decision.Waiting)
					delete(f.waiting, decision.Waiting)
					f.w.refused++
				}
			})
		default:
			f.decided(decision)
		}
		f.askIfDue("t")
	})
}

func (f *front) decided(d Decision) {
	if d.Refusal != "" {
		f.w.refused++
		return
	}
	if f.w.unsafe == "" {
		f.w.unsafe = f.check()
	}
	isCounted, life, wallet := f.w.rand.IntN(10) > 0 || !f.w.isRough, f.life, f.wallet
	if isCounted {
		f.w.spends = append(f.w.spends, f.w.now)
	}
	f.w.after(f.w.between(5*time.Millisecond, 30*time.Millisecond), func() {
		f.thawed(func() {
			if f.life != life || f.wallet != wallet {
				return
			}
			f.settle(wallet.End(f.w.now, "t", d.Life, isCounted))
			f.askIfDue("t")
		})
	})
}

func (f *front) settle(all []Settled) {
	for _, s := range all {
		if f.waiting[s.Number] {
			f.w.waited++
			delete(f.waiting, s.Number)
		}
		f.decided(s.Decision)
	}
}

func (f *front) askIfDue(tenant string) {
	count, isDue := f.wallet.Due(f.w.now, tenant)
	if !isDue {
		return
	}
	f.w.asks++
	sentAt, life, wallet := f.w.now, f.life, f.wallet
	ask := Ask{Holder: f.holder(), Lease: testTimes.Lease.Milliseconds(), Count: count}
	f.w.travel(func() {
		f.w.receive(asked{ask, func(grant wire.QuotaGrant) {
			f.thawed(func() {
				if f.life != life || f.wallet != wallet {
					return // the process that asked has ended
				}
				f.settle(wallet.Answer(f.w.now, sentAt, grant))
				f.askIfDue(tenant)
			})
		}})
	})
}
