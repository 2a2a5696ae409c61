package manager

import (
	"context"
	"time"

	"caperwheel/internal/config"
	"caperwheel/internal/errs"
	"caperwheel/internal/feed"
	"caperwheel/internal/wire"
)

// Orders to empty a zone's workers, and to take that back, come without a number
// and are sent again where no clear answer came. Several emptyings may stand at
// once, and none may end while its own taking back has not come. So where an
// order may be a new one or an old one sent again, it is taken for whichever
// leaves the zone emptied:
//
//   - A taking back is the last one again for as long as that may be sent again,
//     also where an emptying came in between.
//   - An emptying is the one before it again only if that was the last order, and
//     within the bound, in which nearly all that are sent again come. One that is
//     sent again later counts twice, and the zone stays emptied.
//
// How long ago an order was taken is told by the part's own time, which is the
// same whichever manager asks, and however little that has heard.
//
// That holds for orders that are carried out while they may be sent again. A manager
// that stood still, or was cut off, may find one much later, when it has long been
// acknowledged elsewhere and another one stands: it would pass for a new order. So
// what a manager has had for long is not carried out any more, nor one whose caller
// has hung up.

// maxConflictRetries is how often an order about a zone is tried again when another change
// of the zone's order came first.
const maxConflictRetries = 3

// DrainZone asks that a zone, or only its workers, get nothing new. A whole zone
// stays emptied when only its workers are asked for. Where workers were asked for
// before, both stand, and each is to be taken back.
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
	// Any name will do: workers that are not listed yet may come.
	return o.updateDrainOrder(ctx, by, zone, o.m.nextDrain)
}

// RestoreZone takes an emptying back. Where a source tells of the workers they
// count as cold at first, since the source runs behind: the mark says so until
// the list controller takes it away.
func (o *Operators) RestoreZone(ctx context.Context, by, zone string) (int64, error) {
	if err := checkName(zone); err != nil {
		return 0, err
	}
	if o.m.source == nil {
		return o.clearDrainOrder(ctx, by, config.ZoneKey+zone)
	}
	return o.updateDrainOrder(ctx, by, zone, o.m.nextRestore)
}

// standing is what stands at a zone's key.
type drainState struct {
	revision int64 // 0 for nothing
	order    config.DrainOrder
	age      time.Duration // since the last order
}

// updateDrainOrder brings an order to a zone's order: next says what it makes of it, or that
// it is there already.
func (o *Operators) updateDrainOrder(ctx context.Context, by, zone string, next func(was drainState) (config.DrainOrder, bool)) (revision int64, err error) {
	began := o.m.d.Now()
	for range maxConflictRetries {
		var got wire.Pulled
		got, err = o.m.readReply(ctx, feed.ConfigPart, config.ZoneKey+zone)
		if err != nil && !errs.Is(err, errs.Unknown) {
			return 0, err
		}
		was := drainState{got.Change.Revision, config.ParseDrainOrder(got.Change.Value), orderAge(got)}
		order, isThere := next(was)
		if isThere {
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

// checkNotStale returns an error where an order without a number must not be carried out
// any more: its caller has hung up, or it came so long ago that it may have been
// acknowledged and followed by another one. It is looked at behind the read that the
// change builds on: nothing that came after that read is overwritten.
func (o *Operators) checkNotStale(ctx context.Context, began time.Duration) error {
	switch {
	case ctx.Err() != nil:
		return errs.New(errs.Stale, "the caller has hung up")
	case o.m.d.Now()-began >= o.m.resendWindow/2:
		return errs.New(errs.Stale, "the order came too long ago")
	}
	return nil
}

// orderAge gives the age of what was read; one that is not known is bounded, so that
// it can be reckoned with.
func orderAge(got wire.Pulled) time.Duration {
	return time.Duration(min(got.Age, int64(time.Hour/time.Millisecond))) * time.Millisecond
}

// nextDrain is what an order to empty a zone's workers makes of its mark.
func (m *Manager) nextDrain(was drainState) (next config.DrainOrder, isThere bool) {
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

// nextRestore is what an order to take an emptying back makes of a zone's order.
func (m *Manager) nextRestore(was drainState) (next config.DrainOrder, isThere bool) {
	switch {
	case was.revision == 0, was.order.Only == config.OnlyCold, m.msSinceRestore(was) > 0:
		return next, true
	case was.order.OtherDrains > 0:
		return config.DrainOrder{Only: config.OnlyWorkers, OtherDrains: was.order.OtherDrains - 1, IsLastRestore: true}, false
	}
	return config.DrainOrder{Only: config.OnlyCold}, false
}

// msSinceRestore gives the milliseconds since an emptying of the zone was last taken
// back; 0 if that was so long ago that it cannot be sent again.
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
