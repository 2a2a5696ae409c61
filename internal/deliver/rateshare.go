package deliver

import (
	"time"

	"caperwheel/internal/config"
)

// RateShare is the part of a service's rate limit that one adapter may use, in proportion to the service's listed
// workers whose duties it holds. The shares of all adapters together never exceed the rate: a duty counts only once its
// previous holder must have stopped, and a shorter list only once every adapter must have seen it. It does no I/O and
// reads no clock.
//
// Invariants: listed is at least the number of workers in any list by which another adapter may still act; tokens never
// exceed burst.
type RateShare struct {
	rate          float64             // of the service, per second
	fence         time.Duration       // time after which every adapter acts by what is visible now
	held          map[string]heldTerm // duties held here, by worker
	listed        int                 // number of workers that the rate is divided by
	newestListed  int                 // number of workers in the newest list
	pendingListed int                 // replaces listed at pendingAt; equal to listed if no shorter list is pending
	pendingAt     time.Duration

	tokens     float64
	refilledAt time.Duration
	refillRate float64       // starts per second at the last refill
	lastStart  time.Duration // of the most recent start
}

// heldTerm is a duty held by this adapter.
type heldTerm struct {
	term int64
	from time.Duration // when it starts to count
}

// NewRateShare returns a share of nothing.
func NewRateShare(fence, now time.Duration) *RateShare {
	return &RateShare{fence: fence, held: map[string]heldTerm{}, refilledAt: now}
}

// Update applies the service's rate, the terms of the duties held here and the number of listed workers. After
// a release of a duty no other adapter can be acting any more, so it counts at once.
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

// setListed applies a longer list at once, and a shorter one after the fence.
func (a *RateShare) setListed(listed int, now time.Duration) {
	a.newestListed = listed
	switch {
	case listed >= a.listed:
		a.listed, a.pendingListed = listed, listed
	case a.pendingListed >= a.listed: // the first shorter list
		a.pendingListed, a.pendingAt = listed, now+a.fence
	default:
		a.pendingListed = max(a.pendingListed, listed)
	}
}

// perSecond returns how many starts per second this adapter is allowed now.
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

// minBurst is the smallest burst, in starts. It is above one, so that no tokens are lost while a start is paced.
const minBurst = 1.5

// burst returns the capacity of the token bucket.
func (a *RateShare) burst(now time.Duration) float64 {
	return max(minBurst, a.perSecond(now)/10)
}

// refill adds the tokens earned since the last refill.
func (a *RateShare) refill(now time.Duration) {
	if now <= a.refilledAt {
		return
	}
	rate := a.perSecond(now)
	// The lower of the old and the new rate, since the rate may have risen only just now.
	a.tokens = min(a.burst(now), a.tokens+min(rate, a.refillRate)*(now-a.refilledAt).Seconds())
	a.refilledAt, a.refillRate = now, rate
}

// noShareRetry is the retry delay of an adapter without a share.
const noShareRetry = 100 * time.Millisecond

// Wait returns an estimate of how long it is until a run may start; 0 means now.
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

// TakeToken consumes the token of one start.
func (a *RateShare) TakeToken() { a.tokens-- }

// ReturnToken gives back the token of a start that did not happen.
func (a *RateShare) ReturnToken(now time.Duration) { a.tokens = min(a.tokens+1, a.burst(now)) }

// PacingDelay returns how long a granted start must still wait, so that starts granted earlier and used late do not
// become a burst.
func (a *RateShare) PacingDelay(now time.Duration) time.Duration {
	rate := a.perSecond(now)
	if rate <= 0 {
		return 0
	}
	at := max(now, a.lastStart+paceGap(rate))
	a.lastStart = at
	return at - now
}

// paceShare is the minimum time between two starts, as a share of their mean time at the rate. It is below one, so that
// starts which were held up are caught up on, and above 1/1.1, so that they never exceed the rate by a tenth.
const paceShare = 0.92

// paceGap returns the minimum time between two starts at a rate.
func paceGap(rate float64) time.Duration {
	return time.Duration(paceShare / rate * float64(time.Second))
}

// isShared reports whether a pool's rate limit is shared by its listed workers.
func isShared(pool config.Pool) bool { return pool.Rate > 0 && !pool.IsEndpoint }

// poolRateShare is a rate share with the configuration that it was last updated to.
type poolRateShare struct {
	*RateShare
	lastConfig *config.Compiled
}

// rateShareOf returns the rate share of a pool, or nil if its workers share no rate limit. s.mu is held.
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

// updateShares updates the rate shares of all pools to the newest configuration: a share counts from the time that its
// duty was seen, not from its first slot request. s.mu is held.
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

// heldDuties returns a pool's duties that this boot of the adapter holds, by listed worker.
func (s *slotAllocator) heldDuties(compiled *config.Compiled, pool string) map[string]config.AssignedDuty {
	out := map[string]config.AssignedDuty{}
	for worker, duty := range compiled.Duties[pool].All() {
		if _, isListed := compiled.Workers[pool].Get(worker); isListed && duty.Holder == s.adapter.d.Who.Name && duty.Boot == s.adapter.d.Who.Boot {
			out[worker] = duty
		}
	}
	return out
}
