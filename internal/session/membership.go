package session

import (
	"sync"

	"caperwheel/internal/wire"
)

// Membership is a daemon's copy of the list of members, with hints about which store owns which group.
//
// Invariant: list and core are not modified after they are set, so they are returned without copying.
type Membership struct {
	mu      sync.RWMutex
	hash    string
	list    []wire.Member
	kinds   map[string][]wire.Who
	members map[string]wire.Member
	owners  map[int64]ownerHint
	// Whether any store has been asked to stop.
	hasDrainingStores bool
	// Whether any adapter is of a build that does not claim operation keys.
	hasOlderAdapters bool
	// The managers and stores, which are all that an adapter or agent needs, however many of its own kind
	// there are.
	coreHash string
	core     []wire.Member
}

// ownerHint is the store that last claimed a group, and the term of the claim.
type ownerHint struct {
	name string
	term int64
}

// NewMembership returns an empty membership.
func NewMembership() *Membership {
	return &Membership{members: map[string]wire.Member{}, owners: map[int64]ownerHint{}, kinds: map[string][]wire.Who{},
		core: []wire.Member{}, coreHash: MembershipHash(nil)}
}

// Hash returns the hash of the list, so that the list is not sent again.
func (r *Membership) Hash() string {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return r.hash
}

// Update replaces the list. A list with the same hash is ignored: anything else that its members report is
// for managers, which keep it in their registry.
func (r *Membership) Update(hash string, members []wire.Member) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if hash == r.hash && hash != "" && len(members) == len(r.list) {
		return
	}
	r.hash, r.list, r.members = hash, members, map[string]wire.Member{}
	r.kinds, r.core = map[string][]wire.Who{}, []wire.Member{}
	r.hasDrainingStores, r.hasOlderAdapters = false, false
	owners := map[int64]ownerHint{}
	for _, m := range members {
		r.members[m.Who.Name] = m
		r.kinds[m.Who.Kind] = append(r.kinds[m.Who.Kind], m.Who)
		if isCore(m.Who.Kind) {
			r.core = append(r.core, m)
			r.hasDrainingStores = r.hasDrainingStores || m.Who.Kind == "store" && isDraining(m)
		}
		r.hasOlderAdapters = r.hasOlderAdapters || m.Who.Kind == "adapter" && m.Fact.Counts[ClaimsCount] == 0
		for _, o := range m.Owns {
			if o.Term > owners[o.Group].term {
				owners[o.Group] = ownerHint{m.Who.Name, o.Term}
			}
		}
	}
	r.owners, r.coreHash = owners, MembershipHash(r.core)
}

// DrainingCount is the name of the count by which a daemon reports that it has been asked to stop.
const DrainingCount = "leaving"

// ClaimsCount is the name of the count by which an adapter reports that its build claims operation keys.
const ClaimsCount = "claims"

// HasOlderAdapters reports whether any adapter is of a build that does not claim operation keys. Daemons to which
// adapters are not visible get false.
func (r *Membership) HasOlderAdapters() bool {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return r.hasOlderAdapters
}

// isDraining reports whether the member has been asked to stop.
func isDraining(m wire.Member) bool { return m.Fact.Counts[DrainingCount] > 0 }

// isCore reports whether a daemon of this kind is visible to all others.
func isCore(kind string) bool { return kind == "manager" || kind == "store" }

// Find returns a member by name.
func (r *Membership) Find(name string) (wire.Who, bool) {
	r.mu.RLock()
	defer r.mu.RUnlock()
	m, isKnown := r.members[name]
	return m.Who, isKnown
}

// Owner returns the store that was last reported to own a group.
func (r *Membership) Owner(id int64) (wire.Who, bool) {
	r.mu.RLock()
	defer r.mu.RUnlock()
	m, isKnown := r.members[r.owners[id].name]
	return m.Who, isKnown
}

// HasOwner reports whether any group with an id of at least first has a known owner.
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

// IsDraining reports whether a member has been asked to stop.
func (r *Membership) IsDraining(name string) bool {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return isDraining(r.members[name])
}

// HasDrainingStores reports whether any store has been asked to stop.
func (r *Membership) HasDrainingStores() bool {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return r.hasDrainingStores
}

// OfKind returns the members of a kind. The caller owns the returned slice.
func (r *Membership) OfKind(kind string) []wire.Who {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return append([]wire.Who{}, r.kinds[kind]...)
}

// All returns the hash and the full list, which must not be modified.
func (r *Membership) All() (string, []wire.Member) {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return r.hash, r.list
}

// VisibleTo returns the hash and the list of the members that a daemon of a kind needs to know.
func (r *Membership) VisibleTo(kind string) (string, []wire.Member) {
	r.mu.RLock()
	defer r.mu.RUnlock()
	if kind == "adapter" || kind == "agent" {
		return r.coreHash, r.core
	}
	return r.hash, r.list
}
