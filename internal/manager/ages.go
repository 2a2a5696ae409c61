package manager

import (
	"sync"
	"time"

	"caperwheel/internal/beat"
	"caperwheel/internal/charter"
	"caperwheel/internal/feed"
	"caperwheel/internal/wire"
)

// ages tell for how long this manager has seen each cell's mark, by its own
// clock: an order that comes again soon is the same order, sent again.
type ages struct {
	bounds beat.Bounds

	mu   sync.Mutex
	seen map[string]seenMark
}

type seenMark struct {
	stamp int64
	at    time.Duration
}

// look notes the marks of the view; done with each beat of the feed.
func (a *ages) look(view *feed.View, now time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	next := map[string]seenMark{}
	for _, c := range view.Keys(charter.CellKey) {
		was, isKnown := a.seen[c.Key]
		if !isKnown || was.stamp != c.Stamp {
			was = seenMark{c.Stamp, now}
		}
		next[c.Key] = was
	}
	a.seen = next
}

// isYoung: the mark was set less than a bound ago, or has not been seen yet.
func (a *ages) isYoung(c wire.Change, now time.Duration) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	was, isKnown := a.seen[c.Key]
	return !isKnown || was.stamp != c.Stamp || now-was.at < a.bounds.Charter
}
