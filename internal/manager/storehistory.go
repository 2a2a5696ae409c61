package manager

import (
	"maps"
	"slices"
	"sync"
	"time"

	"caperwheel/internal/wire"
)

// storeHistory notes for how long a manager has seen the same stores, and which
// it has seen lately, by its own clock. Safe for use by several goroutines.
type storeHistory struct {
	bound time.Duration // the bound on configurations

	mu             sync.Mutex
	names          []string
	unchangedSince time.Duration
	lastSeen       map[string]time.Duration // when each store was last here
}

// absentStoreBounds is for how many bounds a store that is away is remembered: it may come
// back, though its seats were given away meanwhile.
const absentStoreBounds = 10

// observe takes in which stores are members now, and gives for how long the same ones
// have been.
func (s *storeHistory) observe(stores []wire.Who, now time.Duration) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.lastSeen == nil {
		s.lastSeen = map[string]time.Duration{}
	}
	names := []string{}
	for _, who := range stores {
		names = append(names, who.Name)
		s.lastSeen[who.Name] = now
	}
	slices.Sort(names)
	maps.DeleteFunc(s.lastSeen, func(_ string, at time.Duration) bool { return now-at > absentStoreBounds*s.bound })
	if s.names == nil || !slices.Equal(names, s.names) {
		s.names, s.unchangedSince = names, now
	}
	return now - s.unchangedSince
}

// lately names the stores that are here or were not long ago.
func (s *storeHistory) recent() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Sorted(maps.Keys(s.lastSeen))
}
