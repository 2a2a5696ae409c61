package repair

import (
	"slices"
	"time"

	"caperwheel/internal/timing"
)

// How many of its groups one owner's store changes at a time: few for the sake
// of an even spread, so that traffic does not feel it, more where copies are
// missing.
const (
	maxConcurrentMoves   = 2
	maxConcurrentRepairs = 8
)

// Silence tells for how long a group's owner has not heard of a store that holds
// the group.
type Silence func(name string, now time.Duration) time.Duration

// Planner says which stores should hold the groups that one daemon owns.
type Planner struct {
	bounds   timing.Bounds
	copies   int
	presence *Presence
	members  []Store
}

// NewPlanner makes one for groups of so many copies.
func NewPlanner(bounds timing.Bounds, copies int) *Planner {
	return &Planner{bounds: bounds, copies: copies, presence: NewPresence()}
}

// Note takes in which stores are members now; the owner calls it only while what
// it knows of them is fresh.
func (p *Planner) UpdateMembers(members []Store, now time.Duration) {
	p.members = members
	p.presence.Update(members, now)
}

// Group is one group as its owner sees it.
type Group struct {
	Id         int64
	Holders    []string // names of the stores in its roster
	IsChanging bool     // a change of its roster is not finished
	Silence    Silence
}

// HoldersFor names the stores that should hold a group: an even spread where nothing
// is missing, else as little change as repairs it. under is how many groups of the
// owner are changing now.
//
// A holder that is away is replaced only when both the managers and the group's
// owner have not heard of it for long: for Replace where its successor may be
// here, for Abandon where any other store would have to do, and for Outage where
// all of its zone is away: a zone that is cut off comes back with its disks, and
// until then each group bears its loss.
func (p *Planner) HoldersFor(g Group, retired map[string]bool, changing int, now time.Duration) []string {
	stores, isWhole := slices.Clone(p.members), len(g.Holders) >= p.copies
	isMember := func(name string) bool {
		return slices.ContainsFunc(p.members, func(s Store) bool { return s.Name == name })
	}
	for _, name := range g.Holders {
		isWhole = isWhole && isMember(name) && !retired[name]
		if isMember(name) {
			continue
		}
		absent, span := p.presence.Absent(name, now)
		absent.IsRetired = retired[name]
		absent.IsLost = p.isLost(absent, min(span, g.Silence(name, now)))
		stores = append(stores, absent)
	}
	switch {
	case isWhole && (g.IsChanging || changing < maxConcurrentMoves):
		return SpreadHolders(g.Id, stores, p.copies)
	case !isWhole && !g.IsChanging && changing >= maxConcurrentRepairs:
		return g.Holders
	}
	return SelectHolders(g.Id, g.Holders, stores, p.copies)
}

func (p *Planner) isLost(absent Store, span time.Duration) bool {
	isOfZone := func(s Store) bool { return s.Zone == absent.Zone }
	limit := timing.ReassignTimeout
	switch {
	case p.presence.HasSuccessor(absent, p.members, p.bounds.Of(timing.ReassignTimeout)):
		limit = timing.ReplaceTimeout
	case !slices.ContainsFunc(p.members, isOfZone):
		limit = timing.ZoneOutageTimeout
	}
	return span >= p.bounds.Of(limit)
}
