package repair

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"caperwheel/internal/wire"
)

// ResultBuffer keeps results for adapters that may not live to bring them home: an
// agent for the adapter beside it, a store for any adapter that cannot reach a
// place's owner. What is not forgotten in time is handed over. It does no I/O.
//
// Invariant: at most most results are kept; of one run only one, the first.
type ResultBuffer struct {
	capacity      int
	delay         time.Duration // a result is handed over when it was kept so long
	retryInterval time.Duration // and again after this, until it is forgotten

	mu      sync.Mutex
	results map[resultKey]*bufferedResult
}

type resultKey struct {
	id      string
	attempt int64
}

type bufferedResult struct {
	outcome *wire.Outcome
	dueAt   time.Duration
}

// NewResultBuffer gives an empty one.
func NewResultBuffer(capacity int, delay, retryInterval time.Duration) *ResultBuffer {
	return &ResultBuffer{capacity: capacity, delay: delay, retryInterval: retryInterval, results: map[resultKey]*bufferedResult{}}
}

// Add takes a result in; false when there is no room.
func (k *ResultBuffer) Add(o *wire.Outcome, now time.Duration) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	key := resultKey{o.Id, o.Proof.Attempt}
	if k.results[key] != nil {
		return true
	}
	if len(k.results) >= k.capacity {
		return false
	}
	copied := *o
	copied.Step = ""
	k.results[key] = &bufferedResult{&copied, now + k.delay}
	return true
}

// Forget drops a result that is durable at its owner.
func (k *ResultBuffer) Forget(id string, attempt int64) {
	k.mu.Lock()
	defer k.mu.Unlock()
	delete(k.results, resultKey{id, attempt})
}

// Has reports whether a run's result is kept.
func (k *ResultBuffer) Has(id string, attempt int64) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.results[resultKey{id, attempt}] != nil
}

// Due gives the results to hand over now, oldest first.
func (k *ResultBuffer) Due(now time.Duration) []*wire.Outcome {
	k.mu.Lock()
	defer k.mu.Unlock()
	due := []*bufferedResult{}
	for _, x := range k.results {
		if x.dueAt <= now {
			due = append(due, x)
		}
	}
	slices.SortFunc(due, func(a, b *bufferedResult) int {
		return cmp.Or(cmp.Compare(a.dueAt, b.dueAt), cmp.Compare(a.outcome.Id, b.outcome.Id))
	})
	out := []*wire.Outcome{}
	for _, x := range due {
		x.dueAt = now + k.retryInterval
		out = append(out, x.outcome)
	}
	return out
}

// Count reports how many results are kept.
func (k *ResultBuffer) Count() int {
	k.mu.Lock()
	defer k.mu.Unlock()
	return len(k.results)
}
