package manager

import (
	"context"

	"caperwheel/internal/config"
	"caperwheel/internal/errs"
	"caperwheel/internal/feed"
	"caperwheel/internal/timing"
	"caperwheel/internal/wire"
)

// RetirementProgress is how far the moving of all off a store has come.
type RetirementProgress struct {
	Store      string `json:"store"`
	IsMember   bool   `json:"here"`
	IsRetired  bool   `json:"retired"`
	GroupsLeft int64  `json:"groups_left"`
	IsComplete bool   `json:"complete"` // the owner of every group has answered
	IsDone     bool   `json:"done"`
}

// RetirementProgress reports how far a store's retirement has come. It is done when the
// owner of every group, confirmed by a majority since this question came, has the
// group whole on enough other disks and knows of the retirement, and when the
// retirement has stood for a bound: whoever may own a group next knows of it too,
// or has stopped, so that none gives the store a seat again.
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

// groupCount is how many groups there are.
func (m *Manager) groupCount() int { return m.d.Settings.Parts + 1 + m.d.Settings.Places }

// standings are what confirmed owners told of their groups.
type retirementReports struct {
	groups            map[int64]wire.Standing // by group, of the newest term
	isRetirementKnown bool                    // all that answered know of the retirement
}

// standings asks all stores how the groups that they own stand without one.
func (o *Operators) collectRetirementReports(ctx context.Context, without string) retirementReports {
	ctx, cancel := timing.Within(ctx, o.m.d.Bounds.Of(timing.SettleTimeout))
	defer cancel()
	out := retirementReports{map[int64]wire.Standing{}, true}
	for _, reply := range o.m.reach.CallMembers(ctx, o.m.d.Membership.OfKind("store"), &wire.Retire{Store: without}) {
		if told, isTold := reply.(*wire.Retired); isTold {
			out.add(told)
		}
	}
	return out
}

// add adds what one store told. One that owns no confirmed group has no say.
func (s *retirementReports) add(told *wire.Retired) {
	for _, g := range told.Groups {
		if was, isKnown := s.groups[g.Group]; !isKnown || g.Term > was.Term {
			s.groups[g.Group] = g
		}
	}
	s.isRetirementKnown = s.isRetirementKnown && (told.IsKnown || len(told.Groups) == 0)
}

// count is how many groups have a confirmed owner.
func (s retirementReports) count() int { return len(s.groups) }

// groupsOn counts the groups that still stand on a store.
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

// minWholeCopies is the number of whole copies that every group has at least.
func (s retirementReports) minWholeCopies() int64 {
	least := int64(-1)
	for _, g := range s.groups {
		if least < 0 || g.UpToDateStores < least {
			least = g.UpToDateStores
		}
	}
	return least
}
