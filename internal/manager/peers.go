package manager

import (
	"maps"
	"sync"
	"time"

	"caperwheel/internal/timing"
	"caperwheel/internal/wire"
)

// peerShares notes which other managers have taken our shares, and when. Managers
// tell each other their sessions once a turn, each way in a share of its own; an
// answer that tells them again doubles what grows with the daemons.
//
// Invariant: heard holds lives, so that a manager that has begun anew, and knows
// of no sessions, is a stranger.
type peerShares struct {
	mu      sync.Mutex
	takenAt map[string]time.Duration // by boot
}

// lately is for how many beats an answered share shows that the shares arrive.
const recentPeriods = 4

// answered notes that a life of a manager has taken a share of ours.
func (p *peerShares) recordTaken(boot string, now time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.takenAt == nil {
		p.takenAt = map[string]time.Duration{}
	}
	p.takenAt[boot] = now
}

// hasTakenRecently reports whether a life of a manager has lately taken a share of ours.
func (p *peerShares) hasTakenRecently(boot string, now, period time.Duration) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	maps.DeleteFunc(p.takenAt, func(_ string, at time.Duration) bool { return now-at > recentPeriods*period })
	_, isKnown := p.takenAt[boot]
	return isKnown
}

// shareFor gives what a manager is told in answer to its share: all our sessions,
// unless it has them by our own shares; then ours with ourselves alone.
func (m *Manager) shareFor(peer wire.Who) *wire.Share {
	out := m.ownShare()
	if !m.peers.hasTakenRecently(peer.Boot, m.d.Now(), m.d.Bounds.Of(timing.Poll)) {
		return out
	}
	self := []wire.Member{}
	for _, member := range out.Members {
		if member.Who.Name == m.d.Who.Name {
			self = append(self, member)
		}
	}
	out.Members = self
	return out
}
