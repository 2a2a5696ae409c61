// Package session implements membership: a daemon is a member while its session with a manager is live, and
// managers tell each other their sessions. It holds the managers' Registry of sessions, the Client that
// keeps a daemon's session, and the Membership that every daemon has as a copy. Package daemon makes Client
// and Membership; managers and agents hold a Registry.
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

// Registry is a manager's list of sessions: those with itself and those that other managers report.
//
// Invariants: of each name only one process is a member, the one heard from last, except for late polls of
// former processes (see incarnations). Ages only add up, so no manager makes a session younger than was
// reported to it.
type Registry struct {
	mu      sync.Mutex
	timeout time.Duration // silence after which a session has expired
	entries map[string]registryEntry
}

// registryEntry is a known session. isDirect says that the daemon polls this manager itself.
type registryEntry struct {
	member       wire.Member
	lastSeen     time.Duration
	isDirect     bool
	incarnations incarnations
}

// NewRegistry returns an empty registry whose sessions expire after a silence of timeout.
func NewRegistry(timeout time.Duration) *Registry {
	return &Registry{timeout: timeout, entries: map[string]registryEntry{}}
}

// Renew renews a member's session, unless the report is older than what is known or comes from a former
// process.
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

// AddIfUnknown adds a member that a peer reports about a third party. It makes no session younger: a member
// that is known already renews its session itself.
func (r *Registry) AddIfUnknown(m wire.Member, now time.Duration) {
	r.mu.Lock()
	known, isKnown := r.entries[m.Who.Name]
	r.mu.Unlock()
	if !isKnown || now-known.lastSeen > r.timeout {
		r.Renew(m, now, false)
	}
}

// Members returns the current members with their ages, sorted by name, and their membership hash.
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

// SessionsForPeers returns the sessions with this manager, for its peers, and the other managers that it
// knows of, so that managers that are no seeds find each other. One share in fullFactInterval has complete
// facts.
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

// shareInterval is how often sessions are shared with peers; timeout is a ratio of the same timing bound.
func (r *Registry) shareInterval() time.Duration {
	return max(1, r.timeout*time.Duration(timing.Poll)/time.Duration(timing.SessionTimeout))
}

// MembershipHash hashes what other daemons need to know of a list of members. The format is that of earlier
// builds.
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
		if isCore(w.Kind) && isDraining(m) { // of other kinds only managers need to know it
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
