package deliver

import (
	"time"

	"caperwheel/internal/errs"
	"caperwheel/internal/timing"
)

// queuedRun is a run that has arrived while its worker has as many at once as it may.
//
// Invariant: turn is called once, with nil when the run may begin.
type queuedRun struct {
	deadline time.Duration // its permit lapses then
	onTurn   func(error)
}

// startWhenFree has turn called, which must not wait, once the worker may have one more run at once. An
// error means that the run must not begin: the worker fails, its duty has moved on, or the permit
// has lapsed first. Whoever waits in line holds no goroutine.
func (s *slotAllocator) startWhenFree(p *permit, turn func(error)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.adapter.d.Now()
	switch {
	case s.workers[p.key] != p.held: // nobody would tell it its turn
		turn(errs.New(errs.NotOwner, "the duty of %s has moved on", p.key))
	case len(p.held.queue) == 0 && p.held.worker.TryBegin(now):
		turn(nil)
	default:
		p.held.queue = append(p.held.queue, queuedRun{p.deadline, turn})
		p.held.startQueued(now)
		s.scheduleServe(s.adapter.d.Bounds.Of(timing.SlotRequestHold))
	}
}

// startQueued lets those at the head of the line begin that may, and sends back those that
// must not any more.
func (h *heldWorker) startQueued(now time.Duration) {
	for len(h.queue) > 0 {
		run := h.queue[0]
		switch {
		case now > run.deadline:
			run.onTurn(errs.New(errs.DeadlineExceeded, "the permit has lapsed"))
		case h.worker.Health() == Unhealthy && h.worker.running > 0:
			run.onTurn(errs.New(errs.Full, "the worker fails"))
		case h.worker.TryBegin(now):
			run.onTurn(nil)
		default:
			return
		}
		h.queue = h.queue[1:]
	}
}

// withdraw gives a slot back whose run had begun and was not sent after all.
func (s *slotAllocator) withdraw(p *permit) {
	s.mu.Lock()
	defer s.mu.Unlock()
	p.held.worker.Withdraw(s.adapter.d.Now())
	s.serveWaiting(p)
}

// finish takes in how a run that was sent has ended.
func (s *slotAllocator) finish(p *permit, isHealthy bool, took time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	p.held.worker.RunEnded(isHealthy, took, s.adapter.d.Now())
	s.serveWaiting(p)
}

// serveWaiting lets runs and asks of a worker go on after one has left it. Called with mu held.
func (s *slotAllocator) serveWaiting(p *permit) {
	now := s.adapter.d.Now()
	p.held.startQueued(now)
	if s.workers[p.key] == p.held {
		s.answerRequests(p.key, p.held, now)
	}
}
