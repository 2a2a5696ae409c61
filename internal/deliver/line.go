package deliver

import (
	"time"

	"caperwheel/internal/errs"
	"caperwheel/internal/timing"
)

// waiting is a run that has arrived while its worker has as many at once as it may.
//
// Invariant: turn is called once, with nil when the run may begin.
type waiting struct {
	until time.Duration // its permit lapses then
	turn  func(error)
}

// begin has turn called, which must not wait, once the worker may have one more run at once. An
// error means that the run must not begin: the worker fails, its duty has moved on, or the permit
// has lapsed first. Whoever waits in line holds no goroutine.
func (s *slots) begin(p *permit, turn func(error)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.a.d.Now()
	switch {
	case s.workers[p.key] != p.held: // nobody would tell it its turn
		turn(errs.New(errs.NotOwner, "the duty of %s has moved on", p.key))
	case len(p.held.line) == 0 && p.held.worker.Begin(now):
		turn(nil)
	default:
		p.held.line = append(p.held.line, waiting{p.until, turn})
		p.held.advance(now)
		s.arm(s.a.d.Bounds.Of(timing.AskHold))
	}
}

// advance lets those at the head of the line begin that may, and sends back those that
// must not any more.
func (h *held) advance(now time.Duration) {
	for len(h.line) > 0 {
		run := h.line[0]
		switch {
		case now > run.until:
			run.turn(errs.New(errs.DeadlineExceeded, "the permit has lapsed"))
		case h.worker.State() == Unhealthy && h.worker.atWork > 0:
			run.turn(errs.New(errs.Full, "the worker fails"))
		case h.worker.Begin(now):
			run.turn(nil)
		default:
			return
		}
		h.line = h.line[1:]
	}
}

// withdrawn gives a slot back whose run had begun and was not sent after all.
func (s *slots) withdrawn(p *permit) {
	s.mu.Lock()
	defer s.mu.Unlock()
	p.held.worker.Withdraw(s.a.d.Now())
	s.goOn(p)
}

// done takes in how a run that was sent has ended.
func (s *slots) done(p *permit, isHealthy bool, took time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	p.held.worker.Done(isHealthy, took, s.a.d.Now())
	s.goOn(p)
}

// goOn lets runs and asks of a worker go on after one has left it. Called with mu held.
func (s *slots) goOn(p *permit) {
	now := s.a.d.Now()
	p.held.advance(now)
	if s.workers[p.key] == p.held {
		s.answerAsks(p.key, p.held, now)
	}
}
