package duty

import (
	"maps"
	"sync"
	"time"
)

// Proposals holds the changes that a planner has proposed and does not see in its view yet. Plan takes
// them into account, so that no duty is proposed twice and the load of their future holders is known.
// It is safe for concurrent use.
//
// Invariant: open has the newest proposal of each duty, unless that is known to have failed.
type Proposals struct {
	Timeout time.Duration // after this time a proposal of unknown outcome no longer counts
	mu      sync.Mutex
	open    map[string]proposal // by duty
}

// proposal is a change that was proposed and is not visible in the view yet.
type proposal struct {
	ifRevision int64
	holder     string // empty for a removal
	proposedAt time.Duration
}

// Add records that a change is proposed now.
func (p *Proposals) Add(c Change, now time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.open == nil {
		p.open = map[string]proposal{}
	}
	p.open[c.key()] = proposal{c.IfRevision, c.Next.Holder, now}
}

// Fail records that a proposed change was not applied and never will be.
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

// Expire drops the proposals that are older than Timeout.
func (p *Proposals) Expire(now time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	maps.DeleteFunc(p.open, func(_ string, o proposal) bool { return now-o.proposedAt >= p.Timeout })
}

// find returns the open proposal of a duty that is based on a revision.
func (p *Proposals) find(key string, ifRevision int64) (proposal, bool) {
	if p == nil {
		return proposal{}, false
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	o, isOpen := p.open[key]
	return o, isOpen && o.ifRevision == ifRevision
}
