package manager

import (
	"context"

	"caperwheel/internal/config"
	"caperwheel/internal/errs"
	"caperwheel/internal/feed"
	"caperwheel/internal/timing"
	"caperwheel/internal/wire"
)

// RetirementProgress tells how far the move of all groups off a store has come.
type RetirementProgress struct {
	Store      string `json:"store"`
	IsMember   bool   `json:"here"`        // the store is a member now // the store is a member now
	IsRetired  bool   `json:"retired"`     // its retirement is in force
	GroupsLeft int64  `json:"groups_left"` // groups with a replica on the store
	IsComplete bool   `json:"complete"`    // the owner of every group has answered
	IsDone     bool   `json:"done"`        // the store can be removed
}

// RetirementProgress reports how far the retirement of a store has come. It is done when two things
// hold. The owner of every group, confirmed by a majority since this request, has enough complete
// replicas of the group on other disks and knows of the retirement. And the retirement has been in
// force for the configuration bound, after which every possible next owner of a group knows of it or
// has stopped, so that none assigns a replica to the store again.
func (o *Operators) RetirementProgress(ctx context.Context, name string) (RetirementProgress, error) {
	m, out := o.m, RetirementProgress{Store: name}
	order, err := m.readReply(ctx, feed.ConfigPart, config.StoreKey+name)
	switch {
	case err == nil:
		out.IsRetired = true
	case !errs.Is(err, errs.Unknown):
		return out, err
	}
	found := o.collectRetirementReports(ctx, name)
	_, out.IsMember = m.d.Membership.Find(name)
	out.GroupsLeft, out.IsComplete = found.groupsOn(name), found.count() == m.groupCount()
	isSettled := !out.IsRetired || found.isRetirementKnown && order.Age >= m.d.Bounds.ConfigApply.Milliseconds()
	out.IsDone = out.IsComplete && out.GroupsLeft == 0 && isSettled && found.minWholeCopies() >= int64(m.replicaCount())
	return out, nil
}

// groupCount returns the number of groups of the deployment.
func (m *Manager) groupCount() int { return m.d.Settings.Parts + 1 + m.d.Settings.Places }

// retirementReports collects what confirmed owners report on the replicas of their groups.
type retirementReports struct {
	groups            map[int64]wire.Standing // by group: the report of the newest term
	isRetirementKnown bool                    // all owners that answered know of the retirement
}

// collectRetirementReports requests from all stores the state of the groups that they own, not counting
// replicas on the store without.
func (o *Operators) collectRetirementReports(ctx context.Context, without string) retirementReports {
	ctx, cancel := timing.Within(ctx, o.m.d.Bounds.Of(timing.SettleTimeout))
	defer cancel()
	out := retirementReports{map[int64]wire.Standing{}, true}
	for _, reply := range o.m.ownerClient.CallMembers(ctx, o.m.d.Membership.OfKind("store"), &wire.Retire{Store: without}) {
		if report, isReport := reply.(*wire.Retired); isReport {
			out.add(report)
		}
	}
	return out
}

// add merges the report of one store. A store that owns no confirmed group does not count for
// isRetirementKnown.
func (s *retirementReports) add(report *wire.Retired) {
	for _, g := range report.Groups {
		if was, isKnown := s.groups[g.Group]; !isKnown || g.Term > was.Term {
			s.groups[g.Group] = g
		}
	}
	s.isRetirementKnown = s.isRetirementKnown && (report.IsKnown || len(report.Groups) == 0)
}

// count returns how many groups have a confirmed owner.
func (s retirementReports) count() int { return len(s.groups) }

// groupsOn counts the groups that still have a replica on a store.
func (s retirementReports) groupsOn(name string) (out int64) {
	for _, g := range s.groups {
		for _, holder := range g.Stores {
			if holder == name {
				out++
			}
		}
	}
	return out
}

// minWholeCopies returns the smallest number of complete replicas of any group; -1 if there are no
// reports.
func (s retirementReports) minWholeCopies() int64 {
	least := int64(-1)
	for _, g := range s.groups {
		if least < 0 || g.UpToDateStores < least {
			least = g.UpToDateStores
		}
	}
	return least
}
