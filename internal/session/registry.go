// Package session is membership: a daemon is a member while its session with
// a manager stands, and managers tell each other their sessions.
package session

import (
	"cmp"
	"crypto/sha256"
	"encoding/hex"
	"slices"
	"strconv"
	"sync"
	"time"

	"caperwheel/internal/timing"
	"caperwheel/internal/wire"
)

// Registry is a manager's list of sessions, its own and its peers'.
//
// Invariant: of one name only one life is a member: the one heard last, but for late polls of former
// lives (see lives); ages only ever add up, so no manager makes a session younger than it was told.
type Registry struct {
	mu      sync.Mutex
	timeout time.Duration // silence after which a session is over
	entries map[string]registryEntry
}

type registryEntry struct {
	member       wire.Member
	lastSeen     time.Duration
	isDirect     bool
	incarnations incarnations
}

// NewRegistry returns an empty registry whose sessions end after gone of silence.
func NewRegistry(timeout time.Duration) *Registry {
	return &Registry{timeout: timeout, entries: map[string]registryEntry{}}
}

// Renew renews a member's session.
func (r *Registry) Renew(m wire.Member, now time.Duration, isDirect bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	lastSeen := now - time.Duration(m.Age)*time.Millisecond
	previous, isKnown := r.entries[m.Who.Name]
	if now-lastSeen > r.timeout || isKnown && lastSeen < previous.lastSeen {
		return
	}
	known := previous.incarnations
	if isKnown && now-previous.lastSeen <= r.timeout && isDirect && !known.notePoll(m.Who.Boot) {
		previous.incarnations = known
		r.entries[m.Who.Name] = previous
		return
	}
	known.setCurrent(m.Who.Boot)
	previousFact := wire.Fact{}
	if previous.member.Who.Boot == m.Who.Boot {
		previousFact = previous.member.Fact
	}
	m.Fact = restoreBulk(m.Fact, previousFact)
	r.entries[m.Who.Name] = registryEntry{m, lastSeen, isDirect, known}
}

// AddIfUnknown takes in what a peer has heard of somebody else. It makes nobody's session
// younger: whoever is known already is heard by itself.
func (r *Registry) AddIfUnknown(m wire.Member, now time.Duration) {
	r.mu.Lock()
	known, isKnown := r.entries[m.Who.Name]
	r.mu.Unlock()
	if !isKnown || now-known.lastSeen > r.timeout {
		r.Renew(m, now, false)
	}
}

// Members lists who is a member now, with ages, by name, and the membership: a hash
// of what other daemons need to know of them.
func (r *Registry) Members(now time.Duration) (string, []wire.Member) {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := []wire.Member{}
	for name, e := range r.entries {
		if now-e.lastSeen > r.timeout {
			delete(r.entries, name)
			continue
		}
		e.member.Age = int64((now - e.lastSeen) / time.Millisecond)
		out = append(out, e.member)
	}
	slices.SortFunc(out, func(a, b wire.Member) int { return cmp.Compare(a.Who.Name, b.Who.Name) })
	return MembershipHash(out), out
}

// SessionsForPeers lists the sessions that stand with this manager, for its peers, and the
// other managers that it knows of, so that those who are no seeds meet. Every
// share of one turn in fullFactInterval is whole.
func (r *Registry) SessionsForPeers(now time.Duration) []wire.Member {
	r.mu.Lock()
	defer r.mu.Unlock()
	isFull := now/r.shareInterval()%fullFactInterval == 0
	out := []wire.Member{}
	for _, e := range r.entries {
		if (e.isDirect || e.member.Who.Kind == "manager") && now-e.lastSeen <= r.timeout {
			e.member.Age = int64((now - e.lastSeen) / time.Millisecond)
			if !isFull {
				e.member.Fact = withoutBulk(e.member.Fact)
			}
			out = append(out, e.member)
		}
	}
	return out
}

// shareInterval is how often peers are told; gone is a ratio of the same bound.
func (r *Registry) shareInterval() time.Duration {
	return max(1, r.timeout*time.Duration(timing.Poll)/time.Duration(timing.SessionTimeout))
}

// MembershipHash hashes what matters of a list of members.
func MembershipHash(members []wire.Member) string {
	h, line := sha256.New(), []byte{}
	for _, m := range members {
		w := m.Who
		line = append(line[:0], '{')
		for i, word := range []string{w.Name, w.Kind, w.Boot, w.Zone, w.Addr, w.Http} {
			if i > 0 {
				line = append(line, ' ')
			}
			line = append(line, word...)
		}
		line = append(line, '}')
		if isCore(w.Kind) && isDraining(m) { // of others only managers need to know it
			line = append(line, " leaving"...)
		}
		for _, o := range m.Owns {
			line = append(strconv.AppendInt(append(line, ' '), o.Group, 10), '/')
			line = strconv.AppendInt(line, o.Term, 10)
		}
		h.Write(line)
	}
	return hex.EncodeToString(h.Sum(nil)[:8])
}
