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

// slotAllocator grants slots on the workers whose duty this adapter holds.
//
// Invariants: a permit is used or lapses once; asks are bounded by maxSlotRequests a
// worker and answered by their deadline; a worker's state lives as long as its
// duty stays with this boot and its address is the same.
type slotAllocator struct {
	adapter *Adapter

	mu         sync.Mutex
	nextPermit int64
	workers    map[string]*heldWorker
	permits    map[int64]*permit
	// By pool, where its listed workers share a rate.
	rateShares map[string]*poolRateShare
	lastConfig *config.Compiled // that all allowances have seen
	timerAt    time.Duration    // when serve is called next; 0 for not at all
}

// heldWorker is a worker whose duty is held here. Asks wait for a slot on it, and the line is of
// runs that have arrived for theirs and wait for the worker to end others.
type heldWorker struct {
	worker   *WorkerState
	term     int64
	address  string
	requests []slotRequest
	queue    []queuedRun
}

type slotRequest struct {
	deadline time.Duration
	answer   func(any)
}

type permit struct {
	key       string
	held      *heldWorker
	grantedAt time.Duration // when it was granted
	deadline  time.Duration
}

const maxSlotRequests = 256

func newSlotAllocator(a *Adapter) *slotAllocator {
	return &slotAllocator{adapter: a, nextPermit: a.environment.FirstPermitId(), workers: map[string]*heldWorker{}, permits: map[int64]*permit{},
		rateShares: map[string]*poolRateShare{}}
}

// workerFor returns the state of a worker that this adapter may serve now. Called
// with mu held.
func (s *slotAllocator) workerFor(compiled *config.Compiled, pool, worker string) (*heldWorker, error) {
	key := pool + "/" + worker
	duty, _ := compiled.Duties[pool].Get(worker)
	if !compiled.IsHolder(pool, worker, s.adapter.d.Who.Name, s.adapter.d.Who.Boot) {
		s.drop(key)
		return nil, errs.New(errs.NotOwner, "the duty of %s is not held here", key)
	}
	w, isLive := compiled.CanServe(pool, worker)
	if !isLive || !compiled.MayStartWork(s.adapter.d.Who.Zone) {
		return nil, errs.New(errs.Rejected, "%s is not live", key)
	}
	h, now := s.workers[key], s.adapter.d.Now()
	if h == nil || h.address != w.Address || h.term != duty.Term {
		fence := time.Duration(0)
		if rules := compiled.Rules.Pools[pool]; rules.Rate > 0 && rules.IsEndpoint && duty.PreviousBoot != "" && !duty.IsReleased {
			fence = s.fence()
		}
		s.drop(key)
		h = &heldWorker{worker: NewWorkerState(compiled.Rules.Pools[pool], fence, now), term: duty.Term, address: w.Address}
		s.workers[key] = h
	}
	h.worker.Configure(compiled.Rules.Pools[pool], w)
	h.worker.SetRateShare(s.rateShareOf(compiled, pool, now))
	return h, nil
}

func (s *slotAllocator) fence() time.Duration { return s.adapter.d.Bounds.Of(timing.Fence) }

// drop forgets a worker that is not ours any more, or not as it was. Whoever
// waits for a slot on it is told: an ask without an answer is missed for ever.
func (s *slotAllocator) drop(key string) {
	if h := s.workers[key]; h != nil {
		for _, waiting := range h.requests {
			waiting.answer(busyGrant(0))
		}
		for _, run := range h.queue {
			run.onTurn(errs.New(errs.NotOwner, "the duty of %s has moved on", key))
		}
		h.queue = nil
		delete(s.workers, key)
	}
}

// requestSlot answers an ask for a slot, at once or when one comes free in time.
func (s *slotAllocator) requestSlot(m *wire.Want, answer func(any)) {
	if !s.adapter.d.IsFresh() || s.adapter.isLeaving.Load() {
		answer(&wire.Grant{Kind: string(errs.Stale), Retry: 200})
		return
	}
	compiled := s.adapter.configs.Current()
	s.mu.Lock()
	defer s.mu.Unlock()
	h, err := s.workerFor(compiled, m.Pool, m.Worker)
	if err != nil {
		answer(&wire.Grant{Kind: string(errs.KindOf(err)), Retry: 200})
		return
	}
	now := s.adapter.d.Now()
	isGranted, wait := false, h.worker.Wait(now)
	if len(h.requests) == 0 {
		isGranted, wait = h.worker.Grant(now)
	}
	hold := time.Duration(m.Hold) * time.Millisecond
	switch {
	case isGranted:
		answer(s.grant(m.Pool+"/"+m.Worker, h, now))
	case wait > hold || len(h.requests) >= maxSlotRequests:
		answer(busyGrant(wait))
	default:
		h.requests = append(h.requests, slotRequest{now + hold, answer})
		s.scheduleServe(s.adapter.d.Bounds.Of(timing.SlotScanInterval))
	}
}

func busyGrant(wait time.Duration) *wire.Grant {
	return &wire.Grant{Kind: string(errs.Full), Retry: int64(max(wait, 2*time.Millisecond) / time.Millisecond)}
}

func (s *slotAllocator) grant(key string, h *heldWorker, now time.Duration) *wire.Grant {
	s.nextPermit++
	s.permits[s.nextPermit] = &permit{key, h, now, now + s.adapter.d.Bounds.Of(timing.Permit)}
	s.scheduleServe(s.adapter.d.Bounds.Of(timing.Permit) / 2)
	return &wire.Grant{Permit: s.nextPermit}
}

// scheduleServe has serve called for as long as something waits. Called with mu held.
func (s *slotAllocator) scheduleServe(span time.Duration) {
	at := s.adapter.d.Now() + span
	if s.timerAt != 0 && s.timerAt <= at {
		return
	}
	s.timerAt = at
	s.adapter.environment.After(span, func() { s.onTimer(at) })
}

// onTimer serves, if it is for this moment that it was armed last.
func (s *slotAllocator) onTimer(at time.Duration) {
	s.mu.Lock()
	isArmed := s.timerAt == at
	s.mu.Unlock()
	if isArmed {
		s.serve()
	}
}

// serve answers waiting asks as slots come free, and takes lapsed permits back.
func (s *slotAllocator) serve() {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.adapter.d.Now()
	for _, id := range slices.Sorted(maps.Keys(s.permits)) {
		if p := s.permits[id]; now > p.deadline {
			delete(s.permits, id)
			p.held.worker.Release(now)
		}
	}
	for _, key := range slices.Sorted(maps.Keys(s.workers)) {
		h := s.workers[key]
		h.startQueued(now)
		s.answerRequests(key, h, now)
	}
	s.timerAt = 0
	for _, h := range s.workers {
		if len(h.requests) > 0 {
			s.scheduleServe(s.adapter.d.Bounds.Of(timing.SlotScanInterval))
		}
		if len(h.queue) > 0 {
			s.scheduleServe(s.adapter.d.Bounds.Of(timing.SlotRequestHold))
		}
	}
	if len(s.permits) > 0 {
		s.scheduleServe(s.adapter.d.Bounds.Of(timing.Permit) / 2)
	}
}

func (s *slotAllocator) answerRequests(key string, h *heldWorker, now time.Duration) {
	for len(h.requests) > 0 {
		if now >= h.requests[0].deadline {
			h.requests[0].answer(busyGrant(h.worker.Wait(now)))
			h.requests = h.requests[1:]
			continue
		}
		isGranted, _ := h.worker.Grant(now)
		if !isGranted {
			return
		}
		h.requests[0].answer(s.grant(key, h, now))
		h.requests = h.requests[1:]
	}
}

// addObservations tells managers what this adapter sees of its workers: by worker,
// microseconds of a run, failed runs in thousands, and 1 if it is only probed.
func (s *slotAllocator) addObservations(into map[string]int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.updateShares()
	for key, h := range s.workers {
		micros, misses, isProbe := h.worker.Observations()
		into["run_micros "+key], into["run_misses "+key] = int64(micros), int64(misses*1000)
		if isProbe {
			into["run_probes "+key] = 1
		}
	}
}
