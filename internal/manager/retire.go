package manager

import (
	"context"
	"slices"
	"time"

	"k8s.io/klog/v2"

	"caperwheel/internal/config"
	"caperwheel/internal/errs"
	"caperwheel/internal/feed"
	"caperwheel/internal/timing"
	"caperwheel/internal/wire"
)

// RetireStore asks that all be moved off a store. span is for the log alone: the
// move takes what it takes.
//
// The retirement is admitted by a compare and set on the list of all retirements,
// so that of two asked for at once the second is weighed with the first. It is
// rejected only where too few stores would be left even once all that are away have
// come back; while they are away it is put off.
func (o *Operators) RetireStore(ctx context.Context, by, name string, span time.Duration) (int64, error) {
	if err := checkName(name); err != nil {
		return 0, err
	}
	isNew := false
	err := o.updateRetirements(ctx, by, func(admitted config.Retirements) (config.Retirements, error) {
		if isNew = !admitted.Has(name) && !o.m.configs.Current().RetiredStores[name]; !isNew {
			return admitted, nil
		}
		return admitted.With(name), o.checkRetirement(ctx, name, admitted)
	})
	if err != nil {
		return 0, err
	}
	if isNew {
		klog.Infof("retire: Store %s is to be emptied within %v.", name, span)
	}
	return o.publishRetirement(ctx, by, name)
}

// updateRetirements changes the list of all retirements by compare and set: next says
// what it makes of the list, again where another change came first.
func (o *Operators) updateRetirements(ctx context.Context, by string, next func(config.Retirements) (config.Retirements, error)) error {
	for ctx.Err() == nil {
		admitted, revision, err := o.retirements(ctx)
		if err != nil {
			return err
		}
		changed, err := next(admitted)
		if err != nil || slices.Equal(changed.Stores, admitted.Stores) {
			return err
		}
		_, err = o.writeRetirements(ctx, by, changed, revision)
		if !errs.Is(err, errs.Conflict) {
			return err
		}
	}
	return undecidedError()
}

// publishRetirement tells all daemons of a retirement that was admitted. One that stands
// is left as it is, so that an order sent again does not make it look new.
func (o *Operators) publishRetirement(ctx context.Context, by, name string) (int64, error) {
	standing, err := o.m.readKey(ctx, feed.ConfigPart, config.StoreKey+name)
	switch {
	case err == nil:
		return standing.Revision, nil
	case !errs.Is(err, errs.Unknown):
		return 0, err
	}
	return o.setDrainOrder(ctx, by, config.StoreKey+name, config.DrainOrder{}, -1)
}

// RestoreStore takes a retirement back.
func (o *Operators) RestoreStore(ctx context.Context, by, name string) (int64, error) {
	if err := checkName(name); err != nil {
		return 0, err
	}
	err := o.updateRetirements(ctx, by, func(admitted config.Retirements) (config.Retirements, error) {
		return admitted.Without(name), nil
	})
	if err != nil {
		return 0, err
	}
	return o.clearDrainOrder(ctx, by, config.StoreKey+name)
}

// retirements reads which were admitted, through a majority, and the revision to
// build on.
func (o *Operators) retirements(ctx context.Context) (config.Retirements, int64, error) {
	c, err := o.m.readKey(ctx, feed.ConfigPart, config.RetirementsKey)
	if errs.Is(err, errs.Unknown) {
		c, err = wire.Change{}, nil
	}
	if err != nil {
		return config.Retirements{}, 0, err
	}
	admitted, err := config.ReadRetirements(c.Value)
	return admitted, c.Revision, err
}

func (o *Operators) writeRetirements(ctx context.Context, by string, r config.Retirements, onRevision int64) (int64, error) {
	return o.m.edit(ctx, wire.Edit{Part: feed.ConfigPart, Key: config.RetirementsKey, Value: r.Encode(), IfRevision: onRevision, By: by})
}

// checkRetirement reports whether a store may be retired besides those that are.
func (o *Operators) checkRetirement(ctx context.Context, name string, admitted config.Retirements) error {
	m := o.m
	for marked := range m.configs.Current().RetiredStores { // also those that an older build admitted
		admitted = admitted.With(marked)
	}
	here, holding := []string{}, []string{}
	for _, who := range m.d.Membership.OfKind("store") {
		here = append(here, who.Name)
	}
	for _, g := range o.collectRetirementReports(ctx, name).groups {
		holding = append(holding, g.Stores...)
	}
	isHolding := slices.Contains(holding, name)
	holding = append(holding, m.storeHistory.recent()...)
	switch {
	case slices.Contains(here, name):
	case !slices.Contains(holding, name) && !m.knowsAllStores():
		return errs.New(errs.Stale, "this manager does not know all stores yet")
	case !slices.Contains(holding, name):
		return m.unknownError("store", name)
	case !isHolding:
		return errs.New(errs.Stale, "store %s is away and holds nothing now", name)
	}
	present, known := countRemaining(here, name, admitted), countRemaining(append(here, holding...), name, admitted)
	switch {
	case present >= m.replicaCount():
		return nil
	case known >= m.replicaCount():
		return errs.New(errs.Stale, "%d stores would be left, and %d copies are needed; %d are away", known, m.replicaCount(), known-present)
	case !m.knowsAllStores():
		return errs.New(errs.Stale, "this manager does not know all daemons yet")
	}
	return errs.New(errs.Rejected, "%d stores would be left for %d copies", known, m.replicaCount())
}

// countRemaining counts the stores that are left without one and without those that are
// retired.
func countRemaining(stores []string, without string, admitted config.Retirements) int {
	counted := map[string]bool{}
	for _, name := range stores {
		if name != without && !admitted.Has(name) {
			counted[name] = true
		}
	}
	return len(counted)
}

// replicaCount is how many stores hold each group.
func (m *Manager) replicaCount() int { return m.d.Settings.Replicas() }

// knowsAllStores reports whether this manager can say which stores there are not: its
// view is fresh; no store has come or gone for so long that one which has just begun
// would have been seen; and it has run for as long as it remembers a store that is
// away, or since the deployment's first start.
func (m *Manager) knowsAllStores() bool {
	hasSeenAll := m.d.Settings.IsFirstStart || m.d.Now() >= absentStoreBounds*m.d.Bounds.ConfigApply
	return hasSeenAll && m.d.IsFresh() && m.storeHistory.observe(m.d.Membership.OfKind("store"), m.d.Now()) >= m.d.Bounds.ConfigApply
}

// unknownError says that there is no such thing, if this manager can know.
func (m *Manager) unknownError(kind, subject string) error {
	if !m.d.IsFresh() || m.d.Now() < m.d.Bounds.Of(timing.SessionTimeout) {
		return errs.New(errs.Stale, "this manager does not know all daemons yet")
	}
	return errs.New(errs.Unknown, "no %s %s is here", kind, subject)
}
