package manager

import (
	"maps"
	"slices"
	"sync"
	"time"

	"caperwheel/internal/wire"
)

// storeHistory records for how long the set of member stores has been unchanged, and which stores were
// members recently, by this manager's clock. It is safe for concurrent use.
type storeHistory struct {
	bound time.Duration // the configuration bound

	mu             sync.Mutex
	names          []string
	unchangedSince time.Duration
	lastSeen       map[string]time.Duration // by name: when each store was last a member
}

// absentStoreBounds is for how many configuration bounds an absent store is remembered: it may return
// although its replicas were assigned to other stores meanwhile.
const absentStoreBounds = 10

// observe records which stores are members now, and returns for how long the set has been unchanged.
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

// recent returns the names of the stores that are members or were so recently, sorted.
func (s *storeHistory) recent() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Sorted(maps.Keys(s.lastSeen))
}
