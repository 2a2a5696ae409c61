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

// ease is what is known of a restored zone. Invariant: settledAt is a moment
// after a read that began later than the source's lag behind seenAt was written.
type ease struct {
	revision  int64
	seenAt    time.Duration
	isSettled bool
	settledAt time.Duration
}

// seeEasing notes which restored zones' workers still count as cold.
func (l *lister) seeEasing() {
	now, next := l.m.d.Now(), map[string]ease{}
	for _, c := range l.m.d.View.Keys(config.ZoneKey) {
		if config.ReadOrder(c.Value).Only != config.OnlyCold {
			continue
		}
		was, isKnown := l.easing[c.Key]
		if !isKnown || was.revision != c.Revision {
			was = ease{revision: c.Revision, seenAt: now}
		}
		next[c.Key] = was
	}
	l.easing = next
}

// settle takes the orders of restored zones that a read covers away: after a read that began later
// than the lag behind the restoring was written, every daemon that still acts
// has seen what was written, and the restoring is not sent again any more.
func (l *lister) settle(ctx context.Context, read passed) {
	for key, e := range l.easing {
		if read.zone != "" && key != config.ZoneKey+read.zone {
			continue
		}
		switch now := l.m.d.Now(); {
		case !e.isSettled && read.began-e.seenAt > l.m.source.Lag:
			e.isSettled, e.settledAt = true, now
			l.easing[key] = e
		case e.isSettled && now-e.settledAt > l.m.d.Bounds.Of(timing.Fresh) && now-e.seenAt > l.m.resend:
			_, err := l.m.edit(ctx, wire.Edit{Part: feed.ConfigPart, Key: key, IfRevision: e.revision, Gone: true,
				By: "list controller at " + l.m.d.Who.Name})
			if err != nil && !errs.Is(err, errs.Conflict) {
				klog.Warningf("list: The mark %s cannot be taken away: %v.", key, err)
			}
		}
	}
}
