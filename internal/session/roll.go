package session

import (
	"sync"

	"caperwheel/internal/wire"
)

// Roll is a daemon's copy of the members, with hints of who owns what.
type Roll struct {
	mu      sync.RWMutex
	hash    string
	members map[string]wire.Member
	owners  map[int64]ownerHint
}

type ownerHint struct {
	name string
	term int64
}

// NewRoll gives an empty one.
func NewRoll() *Roll { return &Roll{members: map[string]wire.Member{}, owners: map[int64]ownerHint{}} }

// Hash names the list that we have, so that it is not sent again.
func (r *Roll) Hash() string {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return r.hash
}

// Take brings a list in.
func (r *Roll) Take(hash string, members []wire.Member) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.hash, r.members = hash, map[string]wire.Member{}
	owners := map[int64]ownerHint{}
	for _, m := range members {
		r.members[m.Who.Name] = m
		for _, o := range m.Owns {
			if o.Term > owners[o.Group].term {
				owners[o.Group] = ownerHint{m.Who.Name, o.Term}
			}
		}
	}
	r.owners = owners
}

// Find gives a member by name.
func (r *Roll) Find(name string) (wire.Who, bool) {
	r.mu.RLock()
	defer r.mu.RUnlock()
	m, isKnown := r.members[name]
	return m.Who, isKnown
}

// Owner gives the store that was last said to own a group.
func (r *Roll) Owner(id int64) (wire.Who, bool) {
	r.mu.RLock()
	defer r.mu.RUnlock()
	m, isKnown := r.members[r.owners[id].name]
	return m.Who, isKnown
}

// HasOwner tells whether any group from first on has an owner that is here.
func (r *Roll) HasOwner(first int64) bool {
	r.mu.RLock()
	defer r.mu.RUnlock()
	for id := range r.owners {
		if id >= first {
			return true
		}
	}
	return false
}

// Kind lists the members of a kind.
func (r *Roll) Kind(kind string) []wire.Who {
	r.mu.RLock()
	defer r.mu.RUnlock()
	out := []wire.Who{}
	for _, m := range r.members {
		if m.Who.Kind == kind {
			out = append(out, m.Who)
		}
	}
	return out
}

// All gives the list as it was taken, to pass on.
func (r *Roll) All() (string, []wire.Member) {
	r.mu.RLock()
	defer r.mu.RUnlock()
	out := []wire.Member{}
	for _, m := range r.members {
		out = append(out, m)
	}
	return r.hash, out
}
