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
	mu    sync.Mutex
	gone  time.Duration // silence after which a session is over
	known map[string]entry
}

type entry struct {
	member  wire.Member
	heardAt time.Duration
	isOwn   bool
	lives   lives
}

// NewRegistry returns an empty registry whose sessions end after gone of silence.
func NewRegistry(gone time.Duration) *Registry {
	return &Registry{gone: gone, known: map[string]entry{}}
}

// Hear renews a member's session.
func (r *Registry) Hear(m wire.Member, now time.Duration, isOwn bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	heardAt := now - time.Duration(m.Age)*time.Millisecond
	was, isKnown := r.known[m.Who.Name]
	if now-heardAt > r.gone || isKnown && heardAt < was.heardAt {
		return
	}
	lives := was.lives
	if isKnown && now-was.heardAt <= r.gone && isOwn && !lives.polled(m.Who.Boot) {
		was.lives = lives
		r.known[m.Who.Name] = was
		return
	}
	lives.follow(m.Who.Boot)
	before := wire.Fact{}
	if was.member.Who.Boot == m.Who.Boot {
		before = was.member.Fact
	}
	m.Fact = expand(m.Fact, before)
	r.known[m.Who.Name] = entry{m, heardAt, isOwn, lives}
}

// Meet takes in what a peer has heard of somebody else. It makes nobody's session
// younger: whoever is known already is heard by itself.
func (r *Registry) Meet(m wire.Member, now time.Duration) {
	r.mu.Lock()
	was, isKnown := r.known[m.Who.Name]
	r.mu.Unlock()
	if !isKnown || now-was.heardAt > r.gone {
		r.Hear(m, now, false)
	}
}

// Members lists who is a member now, with ages, by name, and the membership: a hash
// of what other daemons need to know of them.
func (r *Registry) Members(now time.Duration) (string, []wire.Member) {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := []wire.Member{}
	for name, e := range r.known {
		if now-e.heardAt > r.gone {
			delete(r.known, name)
			continue
		}
		e.member.Age = int64((now - e.heardAt) / time.Millisecond)
		out = append(out, e.member)
	}
	slices.SortFunc(out, func(a, b wire.Member) int { return cmp.Compare(a.Who.Name, b.Who.Name) })
	return MembershipHash(out), out
}

// Own lists the sessions that stand with this manager, for its peers, and the
// other managers that it knows of, so that those who are no seeds meet. Every
// share of one turn in wholeEvery is whole.
func (r *Registry) Own(now time.Duration) []wire.Member {
	r.mu.Lock()
	defer r.mu.Unlock()
	isWhole := now/r.shareInterval()%wholeEvery == 0
	out := []wire.Member{}
	for _, e := range r.known {
		if (e.isOwn || e.member.Who.Kind == "manager") && now-e.heardAt <= r.gone {
			e.member.Age = int64((now - e.heardAt) / time.Millisecond)
			if !isWhole {
				e.member.Fact = compact(e.member.Fact)
			}
			out = append(out, e.member)
		}
	}
	return out
}

// shareInterval is how often peers are told; gone is a ratio of the same bound.
func (r *Registry) shareInterval() time.Duration {
	return max(1, r.gone*time.Duration(timing.Poll)/time.Duration(timing.SessionTimeout))
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
		if isCore(w.Kind) && isLeaving(m) { // of others only managers need to know it
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
