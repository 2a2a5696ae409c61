package repair

import (
	"slices"
	"time"

	"caperwheel/internal/timing"
)

// Limits of how many of the groups that a store owns have their rosters changed at a time: a low one for moves that
// only even out the distribution, so that they do not slow traffic down, and a higher one for groups that lack
// copies.
const (
	maxConcurrentMoves   = 2
	maxConcurrentRepairs = 8
)

// Silence returns how long ago the owner of a group last heard from a store that holds it.
type Silence func(name string, now time.Duration) time.Duration

// Planner decides which stores should hold the groups that one daemon owns.
type Planner struct {
	bounds   timing.Bounds
	copies   int
	presence *Presence
	members  []Store
}

// NewPlanner returns a planner for groups with a number of copies.
func NewPlanner(bounds timing.Bounds, copies int) *Planner {
	return &Planner{bounds: bounds, copies: copies, presence: NewPresence()}
}

// UpdateMembers sets the stores that are members now. The owner calls it only while its view of them is fresh.
func (p *Planner) UpdateMembers(members []Store, now time.Duration) {
	p.members = members
	p.presence.Update(members, now)
}

// Group describes a group as known to its owner.
type Group struct {
	Id         int64
	Holders    []string // names of the stores in its roster
	IsChanging bool     // a change of its roster is in progress
	Silence    Silence
}

// HoldersFor returns the names of the stores that should hold a group: an even distribution if no copy is missing,
// else as few changes as will repair it. changing is the number of the owner's groups whose rosters are changing now.
//
// An absent holder is replaced only if neither the managers nor the owner of the group have heard from it for a
// timeout: ReplaceTimeout if its successor may be a member already, ReassignTimeout if any other store has to take
// over, and ZoneOutageTimeout if its whole zone is absent. A zone that is partitioned comes back with its disks, and
// until then each group tolerates its loss.
func (p *Planner) HoldersFor(g Group, retired map[string]bool, changing int, now time.Duration) []string {
	stores, isComplete := slices.Clone(p.members), len(g.Holders) >= p.copies
	isMember := func(name string) bool {
		return slices.ContainsFunc(p.members, func(s Store) bool { return s.Name == name })
	}
	for _, name := range g.Holders {
		isComplete = isComplete && isMember(name) && !retired[name]
		if isMember(name) {
			continue
		}
		absent, span := p.presence.Absent(name, now)
		absent.IsRetired = retired[name]
		absent.IsLost = p.isLost(absent, min(span, g.Silence(name, now)))
		stores = append(stores, absent)
	}
	switch {
	case isComplete && (g.IsChanging || changing < maxConcurrentMoves):
		return SpreadHolders(g.Id, stores, p.copies)
	case !isComplete && !g.IsChanging && changing >= maxConcurrentRepairs:
		return g.Holders
	}
	return SelectHolders(g.Id, g.Holders, stores, p.copies)
}

// isLost reports whether an absent store has been silent for so long that another one may replace it.
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
