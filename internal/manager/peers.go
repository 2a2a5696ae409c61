package manager

import (
	"maps"
	"sync"
	"time"

	"caperwheel/internal/timing"
	"caperwheel/internal/wire"
)

// peerShares records which other managers have acknowledged our shares, and when. In each polling
// period every manager sends its sessions to every other one in a share of its own. Repeating them in
// the answer as well would double traffic that grows with the number of daemons.
//
// Invariant: takenAt is keyed by boot, so a restarted manager, which has lost all sessions, counts as
// one that has acknowledged nothing.
type peerShares struct {
	mu      sync.Mutex
	takenAt map[string]time.Duration // by boot
}

// recentPeriods is for how many polling periods an acknowledged share proves that our shares arrive.
const recentPeriods = 4

// recordTaken records that the manager process with this boot has acknowledged a share of ours.
func (p *peerShares) recordTaken(boot string, now time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.takenAt == nil {
		p.takenAt = map[string]time.Duration{}
	}
	p.takenAt[boot] = now
}

// hasTakenRecently reports whether the manager process with this boot has acknowledged a share of
// ours within recentPeriods.
func (p *peerShares) hasTakenRecently(boot string, now, period time.Duration) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	maps.DeleteFunc(p.takenAt, func(_ string, at time.Duration) bool { return now-at > recentPeriods*period })
	_, isKnown := p.takenAt[boot]
	return isKnown
}

// shareFor returns the answer to a peer's share: all our sessions, or only this manager's own one if
// the peer receives the others through our shares.
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
