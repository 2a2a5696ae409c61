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

// RetireStore orders that all groups be moved off a store. span is only logged: the move takes as long
// as it needs.
//
// The retirement is admitted by a compare and set on the list of all retirements, so that of two
// concurrent ones the second is checked against the first. It is rejected only if too few stores
// would be left even after all absent stores have returned; while they are absent, it fails with
// errs.Stale and may be retried.
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
		klog.Infof("retire: Store %s is retired; its groups are to be moved to other stores within %v.", name, span)
	}
	return o.publishRetirement(ctx, by, name)
}

// updateRetirements changes the list of all retirements by compare and set: next returns the new list,
// and is called again after each conflict.
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

// publishRetirement writes the store's key, through which all daemons learn of an admitted retirement.
// An existing key is left as it is, so that a retried order does not make the retirement look new.
func (o *Operators) publishRetirement(ctx context.Context, by, name string) (int64, error) {
	stored, err := o.m.readKey(ctx, feed.ConfigPart, config.StoreKey+name)
	switch {
	case err == nil:
		return stored.Revision, nil
	case !errs.Is(err, errs.Unknown):
		return 0, err
	}
	return o.setDrainOrder(ctx, by, config.StoreKey+name, config.DrainOrder{}, -1)
}

// RestoreStore cancels the retirement of a store.
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

// retirements reads the admitted retirements through a majority, and returns them with their revision.
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

// writeRetirements writes the list of all retirements if its revision is onRevision.
func (o *Operators) writeRetirements(ctx context.Context, by string, r config.Retirements, onRevision int64) (int64, error) {
	return o.m.edit(ctx, wire.Edit{Part: feed.ConfigPart, Key: config.RetirementsKey, Value: r.Encode(), IfRevision: onRevision, By: by})
}

// checkRetirement returns an error unless the store may be retired in addition to the admitted ones.
func (o *Operators) checkRetirement(ctx context.Context, name string, admitted config.Retirements) error {
	m := o.m
	for retired := range m.configs.Current().RetiredStores { // an older build admitted some without the list
		admitted = admitted.With(retired)
	}
	members, holding := []string{}, []string{}
	for _, who := range m.d.Membership.OfKind("store") {
		members = append(members, who.Name)
	}
	for _, g := range o.collectRetirementReports(ctx, name).groups {
		holding = append(holding, g.Stores...)
	}
	isHolding := slices.Contains(holding, name)
	holding = append(holding, m.storeHistory.recent()...)
	switch {
	case slices.Contains(members, name):
	case !slices.Contains(holding, name) && !m.knowsAllStores():
		return errs.New(errs.Stale, "this manager has not yet observed the stores for long enough to know all of them")
	case !slices.Contains(holding, name):
		return m.unknownError("store", name)
	case !isHolding:
		return errs.New(errs.Stale, "store %s is absent and holds no group at present", name)
	}
	present, known := countRemaining(members, name, admitted), countRemaining(append(members, holding...), name, admitted)
	switch {
	case present >= m.replicaCount():
		return nil
	case known >= m.replicaCount():
		return errs.New(errs.Stale, "%d stores would be left for %d replicas, and %d of them are absent", known, m.replicaCount(), known-present)
	case !m.knowsAllStores():
		return errs.New(errs.Stale, "this manager has not yet observed the stores for long enough to know all of them")
	}
	return errs.New(errs.Rejected, "%d stores would be left for %d replicas", known, m.replicaCount())
}

// countRemaining counts the stores other than without that are not retired.
func countRemaining(stores []string, without string, admitted config.Retirements) int {
	counted := map[string]bool{}
	for _, name := range stores {
		if name != without && !admitted.Has(name) {
			counted[name] = true
		}
	}
	return len(counted)
}

// replicaCount returns how many stores hold each group.
func (m *Manager) replicaCount() int { return m.d.Settings.Replicas() }

// knowsAllStores reports whether a store that this manager has not seen does not exist. For that its
// view must be fresh; the set of stores must have been unchanged for so long that a store that has
// just started would have been seen; and the manager must have run for as long as it remembers an
// absent store, or since the first start of the deployment.
func (m *Manager) knowsAllStores() bool {
	hasSeenAll := m.d.Settings.IsFirstStart || m.d.Now() >= absentStoreBounds*m.d.Bounds.ConfigApply
	return hasSeenAll && m.d.IsFresh() && m.storeHistory.observe(m.d.Membership.OfKind("store"), m.d.Now()) >= m.d.Bounds.ConfigApply
}

// unknownError returns errs.Unknown for a subject that does not exist, or errs.Stale if this manager
// has not run for long enough to know.
func (m *Manager) unknownError(kind, subject string) error {
	if !m.d.IsFresh() || m.d.Now() < m.d.Bounds.Of(timing.SessionTimeout) {
		return errs.New(errs.Stale, "this manager does not know all daemons yet: its view is not fresh or it has just started")
	}
	return errs.New(errs.Unknown, "no %s %s exists", kind, subject)
}
