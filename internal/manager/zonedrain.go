package manager

import (
	"context"
	"time"

	"caperwheel/internal/config"
	"caperwheel/internal/errs"
	"caperwheel/internal/feed"
	"caperwheel/internal/wire"
)

// Orders to drain the workers of a zone, and to restore them, carry no request number and are
// retried when no clear answer came. Several drains of a zone may be in force at once, and none may
// end before its own restore. So an order that may be new or a retry is treated as whichever of the
// two keeps the zone drained:
//
//   - A restore counts as a retry of the last restore while that one may still be retried, even if a
//     drain came in between.
//   - A drain counts as a retry of the drain before it only if that was the last order, and only
//     within the configuration bound, in which nearly all retries arrive. A retry after the bound
//     counts as a second drain, and the zone stays drained.
//
// The age of an order is measured by the part's own clock, which is the same for every manager, even
// one whose view is behind.
//
// These rules hold for orders that are carried out while they may still be retried. A manager that
// was stalled or partitioned may get to an order much later, when another manager has acknowledged
// it and a further order is in force; it would then pass for a new order. So a manager drops an
// order that it received long ago, and one whose caller has closed the connection.

// maxConflictRetries bounds the attempts to apply an order for a zone: each may conflict with another
// order for the zone.
const maxConflictRetries = 3

// DrainZone orders that a zone, or only its workers, get no new work. A zone that is drained as a
// whole stays so when a drain of its workers is ordered. A further drain of the workers adds to the one
// in force, and each needs its own restore.
func (o *Operators) DrainZone(ctx context.Context, by, zone string, isOnlyWorkers bool) (int64, error) {
	if err := checkName(zone); err != nil {
		return 0, err
	}
	if !isOnlyWorkers {
		if !o.m.isKnownSubject("cell", zone) {
			return 0, o.m.unknownError("cell", zone)
		}
		return o.setDrainOrder(ctx, by, config.ZoneKey+zone, config.DrainOrder{}, -1)
	}
	// The zone may be unknown: its workers may be listed later.
	return o.updateDrainOrder(ctx, by, zone, o.m.nextDrain)
}

// RestoreZone ends a drain of a zone. If the worker lists come from a source, the zone's workers count
// as cold at first, since the source lags behind: the drain order says so until the list controller
// removes it.
func (o *Operators) RestoreZone(ctx context.Context, by, zone string) (int64, error) {
	if err := checkName(zone); err != nil {
		return 0, err
	}
	if o.m.source == nil {
		return o.clearDrainOrder(ctx, by, config.ZoneKey+zone)
	}
	return o.updateDrainOrder(ctx, by, zone, o.m.nextRestore)
}

// drainState is the drain order that is stored at a zone's key.
type drainState struct {
	revision int64 // 0 if there is none
	order    config.DrainOrder
	age      time.Duration // time since the last order
}

// updateDrainOrder replaces a zone's drain order by compare and set, in at most maxConflictRetries
// attempts. next returns the new order, or that the requested order is in force already.
func (o *Operators) updateDrainOrder(ctx context.Context, by, zone string, next func(was drainState) (config.DrainOrder, bool)) (revision int64, err error) {
	began := o.m.d.Now()
	for range maxConflictRetries {
		var got wire.Pulled
		got, err = o.m.readReply(ctx, feed.ConfigPart, config.ZoneKey+zone)
		if err != nil && !errs.Is(err, errs.Unknown) {
			return 0, err
		}
		was := drainState{got.Change.Revision, config.ParseDrainOrder(got.Change.Value), orderAge(got)}
		order, isInForce := next(was)
		if isInForce {
			return was.revision, nil
		}
		if err = o.checkNotStale(ctx, began); err != nil {
			return 0, err
		}
		revision, err = o.setDrainOrder(ctx, by, config.ZoneKey+zone, order, was.revision)
		if !errs.Is(err, errs.Conflict) {
			return revision, err
		}
	}
	return revision, err
}

// checkNotStale returns an error if an order without a request number must no longer be carried out:
// its caller has closed the connection, or it arrived so long ago that another manager may have
// acknowledged it and a further order may have followed. It is called after the read that the edit is
// based on, so an order that arrives after the read is not overwritten.
func (o *Operators) checkNotStale(ctx context.Context, began time.Duration) error {
	switch {
	case ctx.Err() != nil:
		return errs.New(errs.Stale, "the caller has closed the connection; the order was not carried out")
	case o.m.d.Now()-began >= o.m.resendWindow/2:
		return errs.New(errs.Stale, "the order arrived too long ago and was not carried out")
	}
	return nil
}

// orderAge returns the age of the value that was read, at most one hour: an unknown age is very large
// and would overflow sums.
func orderAge(got wire.Pulled) time.Duration {
	return time.Duration(min(got.Age, int64(time.Hour/time.Millisecond))) * time.Millisecond
}

// nextDrain returns the drain order after an order to drain the zone's workers.
func (m *Manager) nextDrain(was drainState) (next config.DrainOrder, isInForce bool) {
	next = config.DrainOrder{Only: config.OnlyWorkers, RestoredAgoMs: m.msSinceRestore(was)}
	switch {
	case was.revision == 0 || was.order.Only == config.OnlyCold:
		return next, false
	case was.order.Only != config.OnlyWorkers, !was.order.IsLastRestore && was.age < m.d.Bounds.ConfigApply:
		return next, true
	}
	next.OtherDrains = was.order.OtherDrains + 1
	return next, false
}

// nextRestore returns the drain order after an order to restore the zone.
func (m *Manager) nextRestore(was drainState) (next config.DrainOrder, isInForce bool) {
	switch {
	case was.revision == 0, was.order.Only == config.OnlyCold, m.msSinceRestore(was) > 0:
		return next, true
	case was.order.OtherDrains > 0:
		return config.DrainOrder{Only: config.OnlyWorkers, OtherDrains: was.order.OtherDrains - 1, IsLastRestore: true}, false
	}
	return config.DrainOrder{Only: config.OnlyCold}, false
}

// msSinceRestore returns the milliseconds since the last restore of the zone; 0 if there was none, or if
// it was so long ago that it cannot be retried any more.
func (m *Manager) msSinceRestore(was drainState) int64 {
	ago := was.age
	switch {
	case was.revision == 0:
		return 0
	case was.order.Only == config.OnlyCold || was.order.IsLastRestore:
	case was.order.RestoredAgoMs > 0:
		ago += time.Duration(was.order.RestoredAgoMs) * time.Millisecond
	default:
		return 0
	}
	if ago >= m.resendWindow {
		return 0
	}
	return max(1, ago.Milliseconds())
}
