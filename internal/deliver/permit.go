package deliver

import (
	"time"

	"caperwheel/internal/errs"
)

// redeem turns a permit into the slot of its run. The caller must end it with finish, withdraw or releaseUnused.
func (s *slotAllocator) redeem(id int64, key string) (*permit, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	p, now := s.permits[id], s.adapter.d.Now()
	if p == nil || p.key != key || now > p.deadline {
		return nil, errs.New(errs.DeadlineExceeded, "run refused: its slot permit has expired or is unknown")
	}
	delete(s.permits, id)
	p.held.worker.RecordLead(now - p.grantedAt)
	return p, nil
}

// release gives back a granted slot that its store does not use.
func (s *slotAllocator) release(id int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if p := s.permits[id]; p != nil {
		delete(s.permits, id)
		s.returnSlot(p)
	}
}

// releaseUnused gives back the slot of a run that has arrived and does not begin.
func (s *slotAllocator) releaseUnused(p *permit) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.returnSlot(p)
}

// returnSlot gives a slot back unused and grants it to the next waiting request. s.mu is held.
func (s *slotAllocator) returnSlot(p *permit) {
	p.held.worker.Release(s.adapter.d.Now())
	if s.workers[p.key] == p.held {
		s.answerRequests(p.key, p.held, s.adapter.d.Now())
	}
}

// pacingDelay returns how long the permit's run must wait before it is sent.
func (s *slotAllocator) pacingDelay(p *permit) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return p.held.worker.PacingDelay(s.adapter.d.Now())
}
