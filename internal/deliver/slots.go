package deliver

import (
	"maps"
	"slices"
	"sync"
	"time"

	"caperwheel/internal/config"
	"caperwheel/internal/errs"
	"caperwheel/internal/timing"
	"caperwheel/internal/wire"
)

// slots grants slots on the workers whose duty this adapter holds.
//
// Invariants: a permit is used or lapses once; asks are bounded by mostAsks a
// worker and answered by their deadline; a worker's state lives as long as its
// duty stays with this boot and its address is the same.
type slots struct {
	a *Adapter

	mu      sync.Mutex
	next    int64
	workers map[string]*held
	permits map[int64]*permit
	// By pool, where its listed workers share a rate.
	allowances map[string]*sharedAllowance
	seen       *config.Compiled // that all allowances have seen
	armedAt    time.Duration    // when serve is called next; 0 for not at all
}

// held is a worker whose duty is held here. Asks wait for a slot on it, and the line is of
// runs that have arrived for theirs and wait for the worker to end others.
type held struct {
	worker  *Worker
	term    int64
	address string
	asks    []ask
	line    []waiting
}

type ask struct {
	until  time.Duration
	answer func(any)
}

type permit struct {
	key   string
	held  *held
	at    time.Duration // when it was granted
	until time.Duration
}

const mostAsks = 256

func newSlots(a *Adapter) *slots {
	return &slots{a: a, next: a.ports.Permit(), workers: map[string]*held{}, permits: map[int64]*permit{},
		allowances: map[string]*sharedAllowance{}}
}

// find returns the state of a worker that this adapter may serve now. Called
// with mu held.
func (s *slots) find(compiled *config.Compiled, pool, worker string) (*held, error) {
	key := pool + "/" + worker
	duty, _ := compiled.Duties[pool].Get(worker)
	if !compiled.IsHolder(pool, worker, s.a.d.Who.Name, s.a.d.Who.Boot) {
		s.drop(key)
		return nil, errs.New(errs.NotOwner, "the duty of %s is not held here", key)
	}
	w, isLive := compiled.CanServe(pool, worker)
	if !isLive || !compiled.MayWork(s.a.d.Who.Zone) {
		return nil, errs.New(errs.Rejected, "%s is not live", key)
	}
	h, now := s.workers[key], s.a.d.Now()
	if h == nil || h.address != w.Address || h.term != duty.Term {
		fence := time.Duration(0)
		if rules := compiled.Rules.Pools[pool]; rules.Rate > 0 && rules.IsEndpoint && duty.Before != "" && !duty.IsFree {
			fence = s.fence()
		}
		s.drop(key)
		h = &held{worker: NewWorker(compiled.Rules.Pools[pool], fence, now), term: duty.Term, address: w.Address}
		s.workers[key] = h
	}
	h.worker.Change(compiled.Rules.Pools[pool], w)
	h.worker.Share(s.allowanceOf(compiled, pool, now))
	return h, nil
}

func (s *slots) fence() time.Duration { return s.a.d.Bounds.Of(timing.Fence) }

// drop forgets a worker that is not ours any more, or not as it was. Whoever
// waits for a slot on it is told: an ask without an answer is missed for ever.
func (s *slots) drop(key string) {
	if h := s.workers[key]; h != nil {
		for _, waiting := range h.asks {
			waiting.answer(busy(0))
		}
		for _, run := range h.line {
			run.turn(errs.New(errs.NotOwner, "the duty of %s has moved on", key))
		}
		h.line = nil
		delete(s.workers, key)
	}
}

// want answers an ask for a slot, at once or when one comes free in time.
func (s *slots) want(m *wire.Want, answer func(any)) {
	if !s.a.d.IsFresh() || s.a.isLeaving.Load() {
		answer(&wire.Grant{Kind: string(errs.Stale), Retry: 200})
		return
	}
	compiled := s.a.configs.Current()
	s.mu.Lock()
	defer s.mu.Unlock()
	h, err := s.find(compiled, m.Pool, m.Worker)
	if err != nil {
		answer(&wire.Grant{Kind: string(errs.KindOf(err)), Retry: 200})
		return
	}
	now := s.a.d.Now()
	isGranted, wait := false, h.worker.Wait(now)
	if len(h.asks) == 0 {
		isGranted, wait = h.worker.Grant(now)
	}
	hold := time.Duration(m.Hold) * time.Millisecond
	switch {
	case isGranted:
		answer(s.grant(m.Pool+"/"+m.Worker, h, now))
	case wait > hold || len(h.asks) >= mostAsks:
		answer(busy(wait))
	default:
		h.asks = append(h.asks, ask{now + hold, answer})
		s.arm(s.a.d.Bounds.Of(timing.Serve))
	}
}

func busy(wait time.Duration) *wire.Grant {
	return &wire.Grant{Kind: string(errs.Full), Retry: int64(max(wait, 2*time.Millisecond) / time.Millisecond)}
}

func (s *slots) grant(key string, h *held, now time.Duration) *wire.Grant {
	s.next++
	s.permits[s.next] = &permit{key, h, now, now + s.a.d.Bounds.Of(timing.Permit)}
	s.arm(s.a.d.Bounds.Of(timing.Permit) / 2)
	return &wire.Grant{Permit: s.next}
}

// arm has serve called for as long as something waits. Called with mu held.
func (s *slots) arm(span time.Duration) {
	at := s.a.d.Now() + span
	if s.armedAt != 0 && s.armedAt <= at {
		return
	}
	s.armedAt = at
	s.a.ports.After(span, func() { s.ring(at) })
}

// ring serves, if it is for this moment that it was armed last.
func (s *slots) ring(at time.Duration) {
	s.mu.Lock()
	isArmed := s.armedAt == at
	s.mu.Unlock()
	if isArmed {
		s.serve()
	}
}

// serve answers waiting asks as slots come free, and takes lapsed permits back.
func (s *slots) serve() {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.a.d.Now()
	for _, id := range slices.Sorted(maps.Keys(s.permits)) {
		if p := s.permits[id]; now > p.until {
			delete(s.permits, id)
			p.held.worker.Release(now)
		}
	}
	for _, key := range slices.Sorted(maps.Keys(s.workers)) {
		h := s.workers[key]
		h.advance(now)
		s.answerAsks(key, h, now)
	}
	s.armedAt = 0
	for _, h := range s.workers {
		if len(h.asks) > 0 {
			s.arm(s.a.d.Bounds.Of(timing.Serve))
		}
		if len(h.line) > 0 {
			s.arm(s.a.d.Bounds.Of(timing.AskHold))
		}
	}
	if len(s.permits) > 0 {
		s.arm(s.a.d.Bounds.Of(timing.Permit) / 2)
	}
}

func (s *slots) answerAsks(key string, h *held, now time.Duration) {
	for len(h.asks) > 0 {
		if now >= h.asks[0].until {
			h.asks[0].answer(busy(h.worker.Wait(now)))
			h.asks = h.asks[1:]
			continue
		}
		isGranted, _ := h.worker.Grant(now)
		if !isGranted {
			return
		}
		h.asks[0].answer(s.grant(key, h, now))
		h.asks = h.asks[1:]
	}
}

// observed tells managers what this adapter sees of its workers: by worker,
// microseconds of a run, failed runs in thousands, and 1 if it is only probed.
func (s *slots) observed(into map[string]int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.seeShares()
	for key, h := range s.workers {
		micros, misses, isProbe := h.worker.Observed()
		into["run_micros "+key], into["run_misses "+key] = int64(micros), int64(misses*1000)
		if isProbe {
			into["run_probes "+key] = 1
		}
	}
}
