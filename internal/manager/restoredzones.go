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

// restoredZone is what is known of a restored zone. Invariant: coveredAt is a moment
// after a read that began later than the source's lag behind seenAt was written.
type restoredZone struct {
	revision  int64
	seenAt    time.Duration
	isCovered bool
	coveredAt time.Duration
}

// trackRestoredZones notes which restored zones' workers still count as cold.
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

// settle takes the orders of restored zones that a read covers away: after a read that began later
// than the lag behind the restoring was written, every daemon that still acts
// has seen what was written, and the restoring is not sent again any more.
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
				klog.Warningf("list: The mark %s cannot be taken away: %v.", key, err)
			}
		}
	}
}
