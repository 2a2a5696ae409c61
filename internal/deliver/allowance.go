package deliver

import (
	"time"

	"caperwheel/internal/config"
)

// Allowance is the share of a service's rate that one adapter may use for the service's listed workers
// whose duties it holds. All adapters' shares together are never above the rate: a duty counts once whoever
// held it before must have stopped, and a list that has become shorter counts once all must have seen it. It is pure.
//
// Invariants: listed is at least the number of workers in any list by which another adapter may still act;
// tokens never pass burst.
type Allowance struct {
	rate    float64           // of the service, a second
	fence   time.Duration     // after which others act by what is seen now
	held    map[string]tenure // by worker
	listed  int               // workers that count
	newest  int               // workers of the newest list
	shorter int               // workers that count once shortAt has come; listed where no shorter list is waited for
	shortAt time.Duration

	tokens  float64
	filled  time.Duration
	current float64       // starts a second when tokens were last filled
	startAt time.Duration // the newest start
}

// tenure is a duty that is held.
type tenure struct {
	term int64
	from time.Duration // it counts from then on
}

// NewAllowance gives an allowance of nothing.
func NewAllowance(fence, now time.Duration) *Allowance {
	return &Allowance{fence: fence, held: map[string]tenure{}, filled: now}
}

// See takes in the service's rate, the terms of the duties held here and the number of its workers. In a term that is
// free nobody else can act any more.
func (a *Allowance) See(rate float64, terms map[string]config.Held, listed int, now time.Duration) {
	a.fill(now)
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
		if duty.IsFree {
			from = now
		}
		a.held[worker] = tenure{duty.Term, from}
	}
	a.list(listed, now)
	a.tokens = min(a.tokens, a.burst(now))
}

// list takes a longer list at once, and a shorter one once the fence has passed.
func (a *Allowance) list(listed int, now time.Duration) {
	a.newest = listed
	switch {
	case listed >= a.listed:
		a.listed, a.shorter = listed, listed
	case a.shorter >= a.listed: // the first that is shorter
		a.shorter, a.shortAt = listed, now+a.fence
	default:
		a.shorter = max(a.shorter, listed)
	}
}

// perSecond is how many starts a second are allowed here now.
func (a *Allowance) perSecond(now time.Duration) float64 {
	if a.shorter < a.listed && now >= a.shortAt {
		a.listed = a.shorter
		a.list(a.newest, now)
	}
	counted := 0
	for _, duty := range a.held {
		if now >= duty.from {
			counted++
		}
	}
	return a.rate * float64(counted) / float64(max(1, a.listed, counted))
}

// leastAllowance is the least burst, in starts: more than one, so that nothing is lost while a start waits for its turn.
const leastAllowance = 1.5

func (a *Allowance) burst(now time.Duration) float64 {
	return max(leastAllowance, a.perSecond(now)/10)
}

func (a *Allowance) fill(now time.Duration) {
	if now <= a.filled {
		return
	}
	rate := a.perSecond(now)
	a.tokens = min(a.burst(now), a.tokens+min(rate, a.current)*(now-a.filled).Seconds()) // it may have risen only just now
	a.filled, a.current = now, rate
}

// noSharePause is how long an adapter without a share waits before it looks again.
const noSharePause = 100 * time.Millisecond

// Wait returns how long it is, as far as is known, until a run may start; 0 for now.
func (a *Allowance) Wait(now time.Duration) time.Duration {
	a.fill(now)
	rate := a.perSecond(now)
	switch {
	case a.tokens >= 1:
		return 0
	case rate <= 0:
		return noSharePause
	}
	return max(1, time.Duration((1-a.tokens)/rate*float64(time.Second)))
}

// Take takes what a start costs.
func (a *Allowance) Take() { a.tokens-- }

// GiveBack gives back what a start that did not come about has cost.
func (a *Allowance) GiveBack(now time.Duration) { a.tokens = min(a.tokens+1, a.burst(now)) }

// Pace reports how long a granted start must still wait, so that starts granted earlier and used late do
// not bunch up.
func (a *Allowance) Pace(now time.Duration) time.Duration {
	rate := a.perSecond(now)
	if rate <= 0 {
		return 0
	}
	at := max(now, a.startAt+paceGap(rate))
	a.startAt = at
	return at - now
}

// paceGap is the least time between two starts at a rate.
func paceGap(rate float64) time.Duration { return time.Duration(0.8 / rate * float64(time.Second)) }

// isShared reports whether a pool's rate is one that its listed workers share.
func isShared(pool config.Pool) bool { return pool.Rate > 0 && !pool.IsEndpoint }

// sharedAllowance is an allowance with the configuration that it has seen.
type sharedAllowance struct {
	*Allowance
	seen *config.Compiled
}

// allowanceOf returns what the workers of a pool share here; nil where they share nothing. Called with mu held.
func (s *slots) allowanceOf(compiled *config.Compiled, name string, now time.Duration) *Allowance {
	pool := compiled.Rules.Pools[name]
	if !isShared(pool) {
		delete(s.allowances, name)
		return nil
	}
	shared := s.allowances[name]
	if shared == nil {
		shared = &sharedAllowance{Allowance: NewAllowance(s.fence(), now)}
		s.allowances[name] = shared
	}
	if shared.seen != compiled {
		shared.seen = compiled
		shared.See(pool.Rate, s.termsOf(compiled, name), compiled.Workers[name].Len(), now)
	}
	return shared.Allowance
}

// seeShares takes in what the newest view says of all pools whose workers share a rate: a share counts from when its duty was
// seen, not from when it is first asked for. Called with mu held.
func (s *slots) seeShares() {
	compiled, now := s.a.configs.Current(), s.a.d.Now()
	if compiled == s.seen {
		return
	}
	s.seen = compiled
	for name := range compiled.Rules.Pools {
		s.allowanceOf(compiled, name, now)
	}
	for name := range s.allowances {
		s.allowanceOf(compiled, name, now)
	}
}

// termsOf returns the duties of a pool that this life of the adapter holds, by listed worker.
func (s *slots) termsOf(compiled *config.Compiled, pool string) map[string]config.Held {
	out := map[string]config.Held{}
	for worker, duty := range compiled.Duties[pool].All() {
		if _, isListed := compiled.Workers[pool].Get(worker); isListed && duty.Holder == s.a.d.Who.Name && duty.Boot == s.a.d.Who.Boot {
			out[worker] = duty
		}
	}
	return out
}
