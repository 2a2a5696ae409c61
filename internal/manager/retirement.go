package manager

import (
	"context"

	"caperwheel/internal/config"
	"caperwheel/internal/errs"
	"caperwheel/internal/feed"
	"caperwheel/internal/timing"
	"caperwheel/internal/wire"
)

// Retirement is how far the moving of all off a store has come.
type Retirement struct {
	Store     string `json:"store"`
	IsHere    bool   `json:"here"`
	IsRetired bool   `json:"retired"`
	Left      int64  `json:"groups_left"`
	IsWhole   bool   `json:"complete"` // the owner of every group has answered
	IsDone    bool   `json:"done"`
}

// Retirement reports how far a store's retirement has come. It is done when the
// owner of every group, confirmed by a majority since this question came, has the
// group whole on enough other disks and knows of the retirement, and when the
// retirement has stood for a bound: whoever may own a group next knows of it too,
// or has stopped, so that none gives the store a seat again.
func (o *Operators) Retirement(ctx context.Context, name string) (Retirement, error) {
	m, out := o.m, Retirement{Store: name}
	order, err := m.read(ctx, feed.ConfigPart, config.StoreKey+name)
	switch {
	case err == nil:
		out.IsRetired = true
	case !errs.Is(err, errs.Unknown):
		return out, err
	}
	found := o.standings(ctx, name)
	_, out.IsHere = m.d.Membership.Find(name)
	out.Left, out.IsWhole = found.left(name), found.count() == m.groups()
	isSettled := !out.IsRetired || found.isKnown && order.Age >= m.d.Bounds.Config.Milliseconds()
	out.IsDone = out.IsWhole && out.Left == 0 && isSettled && found.least() >= int64(m.copies())
	return out, nil
}

// groups is how many groups there are.
func (m *Manager) groups() int { return m.d.Settings.Parts + 1 + m.d.Settings.Places }

// standings are what confirmed owners told of their groups.
type standings struct {
	groups  map[int64]wire.Standing // by group, of the newest term
	isKnown bool                    // all that answered know of the retirement
}

// standings asks all stores how the groups that they own stand without one.
func (o *Operators) standings(ctx context.Context, without string) standings {
	ctx, cancel := timing.Within(ctx, o.m.d.Bounds.Of(timing.SettleTimeout))
	defer cancel()
	out := standings{map[int64]wire.Standing{}, true}
	for _, reply := range o.m.reach.All(ctx, o.m.d.Membership.Kind("store"), &wire.Retire{Store: without}) {
		if told, isTold := reply.(*wire.Retired); isTold {
			out.take(told)
		}
	}
	return out
}

// take adds what one store told. One that owns no confirmed group has no say.
func (s *standings) take(told *wire.Retired) {
	for _, g := range told.Groups {
		if was, isKnown := s.groups[g.Group]; !isKnown || g.Term > was.Term {
			s.groups[g.Group] = g
		}
	}
	s.isKnown = s.isKnown && (told.IsKnown || len(told.Groups) == 0)
}

// count is how many groups have a confirmed owner.
func (s standings) count() int { return len(s.groups) }

// left counts the groups that still stand on a store.
func (s standings) left(name string) (out int64) {
	for _, g := range s.groups {
		for _, holder := range g.Stores {
			if holder == name {
				out++
			}
		}
	}
	return out
}

// least is the number of whole copies that every group has at least.
func (s standings) least() int64 {
	least := int64(-1)
	for _, g := range s.groups {
		if least < 0 || g.Whole < least {
			least = g.Whole
		}
	}
	return least
}
