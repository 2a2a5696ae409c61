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

// slotAllocator grants slots on the workers whose duties this adapter holds.
//
// Invariants: a permit is redeemed, released or expires, and only once; at most maxSlotRequests requests wait per
// worker, and each is answered by its deadline; a worker's state is dropped when its duty moves to another boot or its
// address changes.
type slotAllocator struct {
	adapter *Adapter

	mu         sync.Mutex
	nextPermit int64
	workers    map[string]*heldWorker
	permits    map[int64]*permit
	// By pool, for pools whose listed workers share a rate limit.
	rateShares map[string]*poolRateShare
	lastConfig *config.Compiled // configuration that all rate shares have been updated to
	timerAt    time.Duration    // when serve is called next; 0 if it is not scheduled
}

// heldWorker is a worker whose duty this adapter holds, with the requests that wait for a slot on it and the queue of
// runs that have arrived and wait for the worker to end others.
type heldWorker struct {
	worker   *WorkerState
	term     int64
	address  string
	requests []slotRequest
	queue    []queuedRun
}

// slotRequest is a store's request that waits for a slot.
type slotRequest struct {
	deadline time.Duration
	answer   func(any)
}

// permit is a granted slot that its run has not redeemed yet, or the slot of a run.
type permit struct {
	key       string
	held      *heldWorker
	grantedAt time.Duration
	deadline  time.Duration
}

// maxSlotRequests bounds the requests that wait per worker; further ones are told to retry.
const maxSlotRequests = 256

// newSlotAllocator returns an allocator without workers.
func newSlotAllocator(a *Adapter) *slotAllocator {
	return &slotAllocator{adapter: a, nextPermit: a.environment.FirstPermitId(), workers: map[string]*heldWorker{}, permits: map[int64]*permit{},
		rateShares: map[string]*poolRateShare{}}
}

// workerFor returns the state of a worker that this adapter may serve now. s.mu is held.
func (s *slotAllocator) workerFor(compiled *config.Compiled, pool, worker string) (*heldWorker, error) {
	key := pool + "/" + worker
	duty, _ := compiled.Duties[pool].Get(worker)
	if !compiled.IsHolder(pool, worker, s.adapter.d.Who.Name, s.adapter.d.Who.Boot) {
		s.drop(key)
		return nil, errs.New(errs.NotOwner, "worker %s refused: this adapter does not hold its duty", key)
	}
	w, isLive := compiled.CanServe(pool, worker)
	if !isLive || !compiled.MayStartWork(s.adapter.d.Who.Zone) {
		return nil, errs.New(errs.Rejected, "worker %s refused: it is not live, or this adapter's zone is being drained", key)
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

// fence returns how long a new holder waits until the previous one must have stopped acting.
func (s *slotAllocator) fence() time.Duration { return s.adapter.d.Bounds.Of(timing.Fence) }

// drop forgets a worker whose duty has moved or whose address has changed. Every waiting request is answered: a store
// counts a request without an answer as pending for ever.
func (s *slotAllocator) drop(key string) {
	if h := s.workers[key]; h != nil {
		for _, request := range h.requests {
			request.answer(busyGrant(0))
		}
		for _, run := range h.queue {
			run.onTurn(errs.New(errs.NotOwner, "run on %s refused: the worker's duty has moved to another holder", key))
		}
		h.queue = nil
		delete(s.workers, key)
	}
}

// requestSlot answers a request for a slot, either at once or when one becomes free before the request's deadline.
func (s *slotAllocator) requestSlot(m *wire.Want, answer func(any)) {
	if !s.adapter.d.IsFresh() || s.adapter.isDraining.Load() {
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

// busyGrant is the answer to a slot request that is not granted: retry after wait.
func busyGrant(wait time.Duration) *wire.Grant {
	return &wire.Grant{Kind: string(errs.Full), Retry: int64(max(wait, 2*time.Millisecond) / time.Millisecond)}
}

// grant issues a permit that expires if its run does not arrive. s.mu is held.
func (s *slotAllocator) grant(key string, h *heldWorker, now time.Duration) *wire.Grant {
	s.nextPermit++
	s.permits[s.nextPermit] = &permit{key, h, now, now + s.adapter.d.Bounds.Of(timing.Permit)}
	s.scheduleServe(s.adapter.d.Bounds.Of(timing.Permit) / 2)
	return &wire.Grant{Permit: s.nextPermit}
}

// scheduleServe schedules a call of serve after span, unless one is due earlier. s.mu is held.
func (s *slotAllocator) scheduleServe(span time.Duration) {
	at := s.adapter.d.Now() + span
	if s.timerAt != 0 && s.timerAt <= at {
		return
	}
	s.timerAt = at
	s.adapter.environment.After(span, func() { s.onTimer(at) })
}

// onTimer calls serve if its timer is the one that was scheduled last.
func (s *slotAllocator) onTimer(at time.Duration) {
	s.mu.Lock()
	isCurrent := s.timerAt == at
	s.mu.Unlock()
	if isCurrent {
		s.serve()
	}
}

// serve takes expired permits back, starts queued runs and answers waiting requests, and reschedules itself as long as
// anything waits.
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

// answerRequests grants free slots to the requests waiting for a worker in order of arrival, and tells those past their
// deadline to retry. s.mu is held.
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

// addObservations adds what this adapter observes of its workers, for the managers: per worker the microseconds of a
// run, failed runs per thousand, and 1 if it gets only probes.
func (s *slotAllocator) addObservations(counts map[string]int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.updateShares()
	for key, h := range s.workers {
		micros, failureShare, isProbe := h.worker.Observations()
		counts["run_micros "+key], counts["run_misses "+key] = int64(micros), int64(failureShare*1000)
		if isProbe {
			counts["run_probes "+key] = 1
		}
	}
}
