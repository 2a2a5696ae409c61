package quota

import (
	"fmt"
	"time"

	"caperwheel/internal/wire"
)

// holder returns the name of the adapter's incarnation, as the allocator has it.
func (f *simulatedAdapter) holder() string { return fmt.Sprintf("%s/%d", f.name, f.incarnation) }

// check reports a violation if the adapter holds, or has in flight, more tokens than the allocator has granted it.
func (f *simulatedAdapter) check() string {
	p, known := f.cache.tenants["t"], int64(0)
	if a := f.sim.allocator.buckets["t"]; a != nil {
		if i, isKnown := a.find(f.holder()); isKnown && a.Holders[i].Epoch == p.epoch {
			known = a.Holders[i].held()
		}
	}
	if p.held()+p.inFlight > known || p.inFlight < 0 || p.held() < 0 {
		return fmt.Sprintf("%v: %s holds %d and %d are in flight, and the allocator has granted %d", f.sim.now, f.holder(), p.held(), p.inFlight, known)
	}
	return ""
}

func (f *simulatedAdapter) restart() {
	if !f.sim.defects.keepsTokens {
		f.cache = NewTokenCache(testTimes)
	}
	if !f.sim.defects.sharesHolder {
		f.incarnation++
	}
	f.waiting, f.frozenUntil = map[int64]bool{}, 0
}

// whenRunning runs work once the adapter is not frozen.
func (f *simulatedAdapter) whenRunning(work func()) {
	if wait := f.frozenUntil - f.sim.now; wait > 0 {
		f.sim.after(wait, func() { f.whenRunning(work) })
		return
	}
	work()
}

func (f *simulatedAdapter) tick() {
	f.whenRunning(func() {
		for _, tenant := range f.cache.Tenants(f.sim.now) {
			f.askIfDue(tenant)
		}
	})
	f.sim.after(testTick, f.tick)
}

func (f *simulatedAdapter) receiveMessage() {
	f.whenRunning(func() {
		f.sim.messages++
		decision := f.cache.Take(f.sim.now, "t")
		switch {
		case decision.Waiting != 0:
			f.waiting[decision.Waiting] = true
			incarnation := f.incarnation
			f.sim.after(testWait, func() {
				if f.incarnation == incarnation && f.waiting[decision.Waiting] {
					f.cache.Cancel("t", decision.Waiting)
					delete(f.waiting, decision.Waiting)
					f.sim.refused++
				}
			})
		default:
			f.decided(decision)
		}
		f.askIfDue("t")
	})
}

func (f *simulatedAdapter) decided(d Decision) {
	if d.Refusal != "" {
		f.sim.refused++
		return
	}
	if f.sim.violation == "" {
		f.sim.violation = f.check()
	}
	isCounted, incarnation, cache := f.sim.rand.IntN(10) > 0 || !f.sim.hasFaults, f.incarnation, f.cache
	if isCounted {
		f.sim.admissions = append(f.sim.admissions, f.sim.now)
	}
	f.sim.after(f.sim.between(5*time.Millisecond, 30*time.Millisecond), func() {
		f.whenRunning(func() {
			if f.incarnation != incarnation || f.cache != cache {
				return
			}
			f.settle(cache.End(f.sim.now, "t", d.Epoch, isCounted))
			f.askIfDue("t")
		})
	})
}

func (f *simulatedAdapter) settle(all []Settled) {
	for _, s := range all {
		if f.waiting[s.Number] {
			f.sim.waited++
			delete(f.waiting, s.Number)
		}
		f.decided(s.Decision)
	}
}

func (f *simulatedAdapter) askIfDue(tenant string) {
	count, isDue := f.cache.DueRequest(f.sim.now, tenant)
	if !isDue {
		return
	}
	f.sim.asks++
	sentAt, incarnation, cache := f.sim.now, f.incarnation, f.cache
	ask := Ask{Holder: f.holder(), Lease: testTimes.Lease.Milliseconds(), Count: count}
	f.sim.transmit(func() {
		f.sim.receive(queuedRequest{ask, func(grant wire.QuotaGrant) {
			f.whenRunning(func() {
				if f.incarnation != incarnation || f.cache != cache {
					return // the process that sent the request has ended
				}
				f.settle(cache.Answer(f.sim.now, sentAt, grant))
				f.askIfDue(tenant)
			})
		}})
	})
}
