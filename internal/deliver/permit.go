package deliver

import (
	"time"

	"caperwheel/internal/errs"
)

// redeem turns a permit into a run. The worker's state that is given must get Done, or
// Release if the run is not sent.
func (s *slotAllocator) redeem(id int64, key string) (*permit, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	p, now := s.permits[id], s.adapter.d.Now()
	if p == nil || p.key != key || now > p.deadline {
		return nil, errs.New(errs.DeadlineExceeded, "the permit has lapsed")
	}
	delete(s.permits, id)
	p.held.worker.RecordLead(now - p.grantedAt)
	return p, nil
}

func (s *slotAllocator) release(id int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if p := s.permits[id]; p != nil {
		delete(s.permits, id)
		s.returnSlot(p)
	}
}

// releaseUnused gives a slot back whose run has arrived and is not begun.
func (s *slotAllocator) releaseUnused(p *permit) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.returnSlot(p)
}

// returnSlot gives a slot back unused to whoever waits for it. Called with mu held.
func (s *slotAllocator) returnSlot(p *permit) {
	p.held.worker.Release(s.adapter.d.Now())
	if s.workers[p.key] == p.held {
		s.answerRequests(p.key, p.held, s.adapter.d.Now())
	}
}

func (s *slotAllocator) pacingDelay(p *permit) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return p.held.worker.PacingDelay(s.adapter.d.Now())
}
