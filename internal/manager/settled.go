package manager

import (
	"slices"
	"sync"
	"time"

	"caperwheel/internal/wire"
)

// settledStores notes for how long a manager has seen the same stores, by its own
// clock. Safe for use by several goroutines.
type settledStores struct {
	mu    sync.Mutex
	names []string
	since time.Duration
}

// note takes in which stores are members now, and gives for how long the same ones
// have been.
func (s *settledStores) note(stores []wire.Who, now time.Duration) time.Duration {
	names := []string{}
	for _, who := range stores {
		names = append(names, who.Name)
	}
	slices.Sort(names)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.names == nil || !slices.Equal(names, s.names) {
		s.names, s.since = names, now
	}
	return now - s.since
}
