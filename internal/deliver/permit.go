package deliver

import (
	"time"

	"caperwheel/internal/errs"
)

// use turns a permit into a run. The worker's state that is given must get Done, or
// Release if the run is not sent.
func (s *slots) use(id int64, key string) (*permit, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	p, now := s.permits[id], s.a.d.Now()
	if p == nil || p.key != key || now > p.until {
		return nil, errs.New(errs.DeadlineExceeded, "the permit has lapsed")
	}
	delete(s.permits, id)
	p.held.worker.Arrived(now - p.at)
	return p, nil
}

func (s *slots) release(id int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if p := s.permits[id]; p != nil {
		delete(s.permits, id)
		s.giveBack(p)
	}
}

// unused gives a slot back whose run has arrived and is not begun.
func (s *slots) unused(p *permit) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.giveBack(p)
}

// giveBack gives a slot back unused to whoever waits for it. Called with mu held.
func (s *slots) giveBack(p *permit) {
	p.held.worker.Release(s.a.d.Now())
	if s.workers[p.key] == p.held {
		s.answerAsks(p.key, p.held, s.a.d.Now())
	}
}

func (s *slots) pace(p *permit) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return p.held.worker.Pace(s.a.d.Now())
}
