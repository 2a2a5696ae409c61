package deliver

import (
	"time"

	"caperwheel/internal/errs"
	"caperwheel/internal/timing"
)

// queuedRun is a run that has arrived while its worker has as many concurrent runs as it may.
//
// Invariant: onTurn is called once, with nil when the run may begin.
type queuedRun struct {
	deadline time.Duration // when its permit expires
	onTurn   func(error)
}

// startWhenFree calls turn, which must not block, once the worker may have one more concurrent run. An error means that
// the run must not begin: the worker fails, its duty has moved to another holder, or the permit expired first. A queued
// run holds no goroutine.
func (s *slotAllocator) startWhenFree(p *permit, onTurn func(error)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.adapter.d.Now()
	switch {
	case s.workers[p.key] != p.held: // a dropped worker's queue is never served
		onTurn(errs.New(errs.NotOwner, "run on %s refused: the worker's duty has moved to another holder", p.key))
	case len(p.held.queue) == 0 && p.held.worker.TryBegin(now):
		onTurn(nil)
	default:
		p.held.queue = append(p.held.queue, queuedRun{p.deadline, onTurn})
		p.held.startQueued(now)
		s.scheduleServe(s.adapter.d.Bounds.Of(timing.SlotRequestHold))
	}
}

// startQueued starts the runs at the head of the queue that may begin, and rejects those that no longer may.
func (h *heldWorker) startQueued(now time.Duration) {
	for len(h.queue) > 0 {
		run := h.queue[0]
		switch {
		case now > run.deadline:
			run.onTurn(errs.New(errs.DeadlineExceeded, "queued run refused: its slot permit expired before the worker was free"))
		case h.worker.Health() == Unhealthy && h.worker.running > 0:
			run.onTurn(errs.New(errs.Full, "queued run refused: its worker is unhealthy"))
		case h.worker.TryBegin(now):
			run.onTurn(nil)
		default:
			return
		}
		h.queue = h.queue[1:]
	}
}

// withdraw gives back the slot of a run that had begun and was not sent after all.
func (s *slotAllocator) withdraw(p *permit) {
	s.mu.Lock()
	defer s.mu.Unlock()
	p.held.worker.Withdraw(s.adapter.d.Now())
	s.serveWaiting(p)
}

// finish records how a run that was sent has ended.
func (s *slotAllocator) finish(p *permit, isHealthy bool, took time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	p.held.worker.RunEnded(isHealthy, took, s.adapter.d.Now())
	s.serveWaiting(p)
}

// serveWaiting starts queued runs and answers slot requests of a worker after a run has left it. s.mu is held.
func (s *slotAllocator) serveWaiting(p *permit) {
	now := s.adapter.d.Now()
	p.held.startQueued(now)
	if s.workers[p.key] == p.held {
		s.answerRequests(p.key, p.held, now)
	}
}
