package manager

import (
	"context"
	"time"

	"k8s.io/klog/v2"

	"caperwheel/internal/config"
	"caperwheel/internal/errs"
	"caperwheel/internal/feed"
	"caperwheel/internal/timing"
	"caperwheel/internal/wire"
)

// restoredZone tracks a restored zone whose workers count as cold. Invariant: coveredAt is a time by
// which a read was written that had begun more than the source's lag after seenAt.
type restoredZone struct {
	revision  int64
	seenAt    time.Duration
	isCovered bool
	coveredAt time.Duration
}

// trackRestoredZones records the restored zones whose workers still count as cold.
func (l *listController) trackRestoredZones() {
	now, next := l.m.d.Now(), map[string]restoredZone{}
	for _, c := range l.m.d.View.Keys(config.ZoneKey) {
		if config.ParseDrainOrder(c.Value).Only != config.OnlyCold {
			continue
		}
		was, isKnown := l.restoredZones[c.Key]
		if !isKnown || was.revision != c.Revision {
			was = restoredZone{revision: c.Revision, seenAt: now}
		}
		next[c.Key] = was
	}
	l.restoredZones = next
}

// clearCoveredRestores removes the orders of restored zones that a read covers. That takes three
// things: a read that began more than the source's lag after the restore was written, every daemon
// that may act has seen what it wrote, and the restore can no longer be retried.
func (l *listController) clearCoveredRestores(ctx context.Context, read completedRead) {
	for key, e := range l.restoredZones {
		if read.zone != "" && key != config.ZoneKey+read.zone {
			continue
		}
		switch now := l.m.d.Now(); {
		case !e.isCovered && read.began-e.seenAt > l.m.source.MaxLag:
			e.isCovered, e.coveredAt = true, now
			l.restoredZones[key] = e
		case e.isCovered && now-e.coveredAt > l.m.d.Bounds.Of(timing.ViewAgeLimit) && now-e.seenAt > l.m.resendWindow:
			_, err := l.m.edit(ctx, wire.Edit{Part: feed.ConfigPart, Key: key, IfRevision: e.revision, Gone: true,
				By: "list controller at " + l.m.d.Who.Name})
			if err != nil && !errs.Is(err, errs.Conflict) {
				klog.Warningf("list: The drain order %s cannot be removed, so the zone's workers still count as cold: %v.", key, err)
			}
		}
	}
}
