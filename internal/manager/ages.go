package manager

import (
	"maps"
	"slices"
	"sync"
	"time"

	"caperwheel/internal/beat"
	"caperwheel/internal/charter"
	"caperwheel/internal/feed"
	"caperwheel/internal/wire"
)

// ages tell for how long this manager has seen each mark of a cell or store, by
// its own clock, and for how long the same stores. An order about a cell that comes
// again soon is the same order, sent again.
type ages struct {
	bounds beat.Bounds

	mu       sync.Mutex
	seen     map[string]seenMark
	stores   []string
	storesAt time.Duration            // since when these
	hereAt   map[string]time.Duration // when each store was last here
}

// storesKept is for how many bounds a store that is away is remembered: it may come
// back, though its seats were given away meanwhile.
const storesKept = 10

type seenMark struct {
	stamp int64
	at    time.Duration
}

// look notes the marks of the view; done with each beat of the feed.
func (a *ages) look(view *feed.View, stores []wire.Who, now time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.noteStores(stores, now)
	next := map[string]seenMark{}
	for _, prefix := range []string{charter.CellKey, charter.StoreKey} {
		for _, c := range view.Keys(prefix) {
			was, isKnown := a.seen[c.Key]
			if !isKnown || was.stamp != c.Stamp {
				was = seenMark{c.Stamp, now}
			}
			next[c.Key] = was
		}
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

// noteStores notes since when the same stores have been members.
func (a *ages) noteStores(stores []wire.Who, now time.Duration) {
	names := []string{}
	for _, who := range stores {
		names = append(names, who.Name)
	}
	slices.Sort(names)
	if a.hereAt == nil {
		a.hereAt = map[string]time.Duration{}
	}
	for _, name := range names {
		a.hereAt[name] = now
	}
	maps.DeleteFunc(a.hereAt, func(_ string, at time.Duration) bool { return now-at > storesKept*a.bounds.Charter })
	if a.stores == nil || !slices.Equal(names, a.stores) {
		a.stores, a.storesAt = names, now
	}
}

// lately names the stores that are here or were not long ago.
func (a *ages) lately() []string {
	a.mu.Lock()
	defer a.mu.Unlock()
	return slices.Sorted(maps.Keys(a.hereAt))
}

// storesSettled: the same stores have been members for a bound.
func (a *ages) storesSettled(stores []wire.Who, now time.Duration) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.noteStores(stores, now)
	return now-a.storesAt >= a.bounds.Charter
}
