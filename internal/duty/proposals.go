package duty

import (
	"maps"
	"sync"
	"time"
)

// Proposals are the changes that a planner has proposed and does not see yet. A plan counts with them,
// so no duty is proposed twice and the load of those that are to get one is known.
//
// Invariant: open has the newest proposal of each duty that was not seen to fail.
type Proposals struct {
	Timeout time.Duration // a proposal whose outcome is not seen by then counts no longer
	mu      sync.Mutex
	open    map[string]proposal // by duty
}

type proposal struct {
	ifRevision int64
	holder     string // "" for a duty that is removed
	proposedAt time.Duration
}

// Add notes that a change is proposed now.
func (p *Proposals) Add(c Change, now time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.open == nil {
		p.open = map[string]proposal{}
	}
	p.open[c.key()] = proposal{c.IfRevision, c.Next.Holder, now}
}

// Fail notes that a change that was proposed does not hold, and never will.
func (p *Proposals) Fail(c Change) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.open[c.key()].ifRevision == c.IfRevision {
		delete(p.open, c.key())
	}
}

// IsEmpty reports whether no proposal is open.
func (p *Proposals) IsEmpty() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.open) == 0
}

// Expire drops what counts no longer.
func (p *Proposals) Expire(now time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	maps.DeleteFunc(p.open, func(_ string, o proposal) bool { return now-o.proposedAt >= p.Timeout })
}

// of returns the proposal of a duty that builds on a revision.
func (p *Proposals) find(key string, ifRevision int64) (proposal, bool) {
	if p == nil {
		return proposal{}, false
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	o, isOpen := p.open[key]
	return o, isOpen && o.ifRevision == ifRevision
}
