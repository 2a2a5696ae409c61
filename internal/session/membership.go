package session

import (
	"sync"

	"caperwheel/internal/wire"
)

// Membership is a daemon's copy of the members, with hints of who owns what.
//
// Invariant: list and core are never written once they stand, so they are
// handed out as they are.
type Membership struct {
	mu      sync.RWMutex
	hash    string
	list    []wire.Member
	kinds   map[string][]wire.Who
	members map[string]wire.Member
	owners  map[int64]ownerHint
	// Some store is asked to stop.
	hasDrainingStores bool
	// Managers and stores alone: all that an adapter or agent needs to know of,
	// however many of its own kind there are.
	coreHash string
	core     []wire.Member
}

type ownerHint struct {
	name string
	term int64
}

// NewMembership returns a membership without members.
func NewMembership() *Membership {
	return &Membership{members: map[string]wire.Member{}, owners: map[int64]ownerHint{}, kinds: map[string][]wire.Who{},
		core: []wire.Member{}, coreHash: MembershipHash(nil)}
}

// Hash returns the hash of the list held here, so that it is not sent again.
func (r *Membership) Hash() string {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return r.hash
}

// Update brings a list in. One of the same hash tells nothing new: whatever else
// its members say is for managers, who keep it in their registry.
func (r *Membership) Update(hash string, members []wire.Member) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if hash == r.hash && hash != "" && len(members) == len(r.list) {
		return
	}
	r.hash, r.list, r.members = hash, members, map[string]wire.Member{}
	r.kinds, r.core, r.hasDrainingStores = map[string][]wire.Who{}, []wire.Member{}, false
	owners := map[int64]ownerHint{}
	for _, m := range members {
		r.members[m.Who.Name] = m
		r.kinds[m.Who.Kind] = append(r.kinds[m.Who.Kind], m.Who)
		if isCore(m.Who.Kind) {
			r.core = append(r.core, m)
			r.hasDrainingStores = r.hasDrainingStores || m.Who.Kind == "store" && isDraining(m)
		}
		for _, o := range m.Owns {
			if o.Term > owners[o.Group].term {
				owners[o.Group] = ownerHint{m.Who.Name, o.Term}
			}
		}
	}
	r.owners, r.coreHash = owners, MembershipHash(r.core)
}

// DrainingCount is the count by which a daemon tells that it is asked to stop.
const DrainingCount = "leaving"

func isDraining(m wire.Member) bool { return m.Fact.Counts[DrainingCount] > 0 }

func isCore(kind string) bool { return kind == "manager" || kind == "store" }

// Find returns a member by name.
func (r *Membership) Find(name string) (wire.Who, bool) {
	r.mu.RLock()
	defer r.mu.RUnlock()
	m, isKnown := r.members[name]
	return m.Who, isKnown
}

// Owner returns the store that was last said to own a group.
func (r *Membership) Owner(id int64) (wire.Who, bool) {
	r.mu.RLock()
	defer r.mu.RUnlock()
	m, isKnown := r.members[r.owners[id].name]
	return m.Who, isKnown
}

// HasOwner reports whether any group from first on has an owner that is here.
func (r *Membership) HasOwner(first int64) bool {
	r.mu.RLock()
	defer r.mu.RUnlock()
	for id := range r.owners {
		if id >= first {
			return true
		}
	}
	return false
}

// IsDraining reports whether a member says that it is asked to stop.
func (r *Membership) IsDraining(name string) bool {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return isDraining(r.members[name])
}

// HasDrainingStores reports whether some store says that it is asked to stop.
func (r *Membership) HasDrainingStores() bool {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return r.hasDrainingStores
}

// OfKind returns the members of a kind. The list is the caller's own.
func (r *Membership) OfKind(kind string) []wire.Who {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return append([]wire.Who{}, r.kinds[kind]...)
}

// All returns the list as it was taken; it must not be written to.
func (r *Membership) All() (string, []wire.Member) {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return r.hash, r.list
}

// VisibleTo returns what a daemon of a kind needs to know of the members.
func (r *Membership) VisibleTo(kind string) (string, []wire.Member) {
	r.mu.RLock()
	defer r.mu.RUnlock()
	if kind == "adapter" || kind == "agent" {
		return r.coreHash, r.core
	}
	return r.hash, r.list
}
