package manager

import (
	"maps"
	"slices"
	"sync"
	"time"

	"caperwheel/internal/wire"
)

// settledStores notes for how long a manager has seen the same stores, and which
// it has seen lately, by its own clock. Safe for use by several goroutines.
type settledStores struct {
	bound time.Duration // the bound on configurations

	mu     sync.Mutex
	names  []string
	since  time.Duration
	hereAt map[string]time.Duration // when each store was last here
}

// storesKept is for how many bounds a store that is away is remembered: it may come
// back, though its seats were given away meanwhile.
const storesKept = 10

// note takes in which stores are members now, and gives for how long the same ones
// have been.
func (s *settledStores) note(stores []wire.Who, now time.Duration) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.hereAt == nil {
		s.hereAt = map[string]time.Duration{}
	}
	names := []string{}
	for _, who := range stores {
		names = append(names, who.Name)
		s.hereAt[who.Name] = now
	}
	slices.Sort(names)
	maps.DeleteFunc(s.hereAt, func(_ string, at time.Duration) bool { return now-at > storesKept*s.bound })
	if s.names == nil || !slices.Equal(names, s.names) {
		s.names, s.since = names, now
	}
	return now - s.since
}

// lately names the stores that are here or were not long ago.
func (s *settledStores) lately() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Sorted(maps.Keys(s.hereAt))
}
