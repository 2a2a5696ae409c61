package deliver

import (
	"time"

	"caperwheel/internal/config"
)

// RateShare is the share of a service's rate that one adapter may use for the service's listed workers
// whose duties it holds. All adapters' shares together are never above the rate: a duty counts once whoever
// held it before must have stopped, and a list that has become shorter counts once all must have seen it. It is pure.
//
// Invariants: listed is at least the number of workers in any list by which another adapter may still act;
// tokens never pass burst.
type RateShare struct {
	rate          float64             // of the service, a second
	fence         time.Duration       // after which others act by what is seen now
	held          map[string]heldTerm // by worker
	listed        int                 // workers that count
	newestListed  int                 // workers of the newest list
	pendingListed int                 // workers that count once pendingAt has come; listed where no shorter list is waited for
	pendingAt     time.Duration

	tokens     float64
	refilledAt time.Duration
	refillRate float64       // starts a second when tokens were last filled
	lastStart  time.Duration // the newest start
}

// heldTerm is a duty that is held.
type heldTerm struct {
	term int64
	from time.Duration // it counts from then on
}

// NewRateShare gives an allowance of nothing.
func NewRateShare(fence, now time.Duration) *RateShare {
	return &RateShare{fence: fence, held: map[string]heldTerm{}, refilledAt: now}
}

// Update takes in the service's rate, the terms of the duties held here and the number of its workers. In a term that is
// free nobody else can act any more.
func (a *RateShare) Update(rate float64, terms map[string]config.AssignedDuty, listed int, now time.Duration) {
	a.refill(now)
	a.rate = rate
	for worker := range a.held {
		if _, isHeld := terms[worker]; !isHeld {
			delete(a.held, worker)
		}
	}
	for worker, duty := range terms {
		if was, isHeld := a.held[worker]; isHeld && was.term == duty.Term {
			continue
		}
		from := now + a.fence
		if duty.IsReleased {
			from = now
		}
		a.held[worker] = heldTerm{duty.Term, from}
	}
	a.setListed(listed, now)
	a.tokens = min(a.tokens, a.burst(now))
}

// setListed takes a longer list at once, and a shorter one once the fence has passed.
func (a *RateShare) setListed(listed int, now time.Duration) {
	a.newestListed = listed
	switch {
	case listed >= a.listed:
		a.listed, a.pendingListed = listed, listed
	case a.pendingListed >= a.listed: // the first that is shorter
		a.pendingListed, a.pendingAt = listed, now+a.fence
	default:
		a.pendingListed = max(a.pendingListed, listed)
	}
}

// perSecond is how many starts a second are allowed here now.
func (a *RateShare) perSecond(now time.Duration) float64 {
	if a.pendingListed < a.listed && now >= a.pendingAt {
		a.listed = a.pendingListed
		a.setListed(a.newestListed, now)
	}
	counted := 0
	for _, duty := range a.held {
		if now >= duty.from {
			counted++
		}
	}
	return a.rate * float64(counted) / float64(max(1, a.listed, counted))
}

// minBurst is the least burst, in starts: more than one, so that nothing is lost while a start waits for its turn.
const minBurst = 1.5

func (a *RateShare) burst(now time.Duration) float64 {
	return max(minBurst, a.perSecond(now)/10)
}

func (a *RateShare) refill(now time.Duration) {
	if now <= a.refilledAt {
		return
	}
	rate := a.perSecond(now)
	a.tokens = min(a.burst(now), a.tokens+min(rate, a.refillRate)*(now-a.refilledAt).Seconds()) // it may have risen only just now
	a.refilledAt, a.refillRate = now, rate
}

// noShareRetry is how long an adapter without a share waits before it looks again.
const noShareRetry = 100 * time.Millisecond

// RetryDelay returns how long it is, as far as is known, until a run may start; 0 for now.
func (a *RateShare) Wait(now time.Duration) time.Duration {
	a.refill(now)
	rate := a.perSecond(now)
	switch {
	case a.tokens >= 1:
		return 0
	case rate <= 0:
		return noShareRetry
	}
	return max(1, time.Duration((1-a.tokens)/rate*float64(time.Second)))
}

// TakeToken takes what a start costs.
func (a *RateShare) TakeToken() { a.tokens-- }

// ReturnToken gives back what a start that did not come about has cost.
func (a *RateShare) ReturnToken(now time.Duration) { a.tokens = min(a.tokens+1, a.burst(now)) }

// PacingDelay reports how long a granted start must still wait, so that starts granted earlier and used late do
// not bunch up.
func (a *RateShare) PacingDelay(now time.Duration) time.Duration {
	rate := a.perSecond(now)
	if rate <= 0 {
		return 0
	}
	at := max(now, a.lastStart+paceGap(rate))
	a.lastStart = at
	return at - now
}

// paceGap is the least time between two starts at a rate.
func paceGap(rate float64) time.Duration { return time.Duration(0.8 / rate * float64(time.Second)) }

// isShared reports whether a pool's rate is one that its listed workers share.
func isShared(pool config.Pool) bool { return pool.Rate > 0 && !pool.IsEndpoint }

// poolRateShare is an allowance with the configuration that it has seen.
type poolRateShare struct {
	*RateShare
	lastConfig *config.Compiled
}

// rateShareOf returns what the workers of a pool share here; nil where they share nothing. Called with mu held.
func (s *slotAllocator) rateShareOf(compiled *config.Compiled, name string, now time.Duration) *RateShare {
	pool := compiled.Rules.Pools[name]
	if !isShared(pool) {
		delete(s.rateShares, name)
		return nil
	}
	shared := s.rateShares[name]
	if shared == nil {
		shared = &poolRateShare{RateShare: NewRateShare(s.fence(), now)}
		s.rateShares[name] = shared
	}
	if shared.lastConfig != compiled {
		shared.lastConfig = compiled
		shared.Update(pool.Rate, s.heldDuties(compiled, name), compiled.Workers[name].Len(), now)
	}
	return shared.RateShare
}

// updateShares takes in what the newest view says of all pools whose workers share a rate: a share counts from when its duty was
// seen, not from when it is first asked for. Called with mu held.
func (s *slotAllocator) updateShares() {
	compiled, now := s.adapter.configs.Current(), s.adapter.d.Now()
	if compiled == s.lastConfig {
		return
	}
	s.lastConfig = compiled
	for name := range compiled.Rules.Pools {
		s.rateShareOf(compiled, name, now)
	}
	for name := range s.rateShares {
		s.rateShareOf(compiled, name, now)
	}
}

// heldDuties returns the duties of a pool that this life of the adapter holds, by listed worker.
func (s *slotAllocator) heldDuties(compiled *config.Compiled, pool string) map[string]config.AssignedDuty {
	out := map[string]config.AssignedDuty{}
	for worker, duty := range compiled.Duties[pool].All() {
		if _, isListed := compiled.Workers[pool].Get(worker); isListed && duty.Holder == s.adapter.d.Who.Name && duty.Boot == s.adapter.d.Who.Boot {
			out[worker] = duty
		}
	}
	return out
}
