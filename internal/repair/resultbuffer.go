package repair

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"caperwheel/internal/wire"
)

// ResultBuffer keeps the results of runs for adapters that may fail before they can deliver them: an agent does so
// for the adapter on its machine, a store for any adapter that cannot reach the owner of a place. A result that is
// not forgotten in time is delivered to the owner of its place.
//
// Invariant: at most capacity results are kept, and only the first one of each run.
type ResultBuffer struct {
	capacity      int
	delay         time.Duration // time after which a result is delivered
	retryInterval time.Duration // time after which it is delivered again, until it is forgotten

	mu      sync.Mutex
	results map[resultKey]*bufferedResult
}

// resultKey identifies a run by its message and the number of the attempt.
type resultKey struct {
	id      string
	attempt int64
}

// bufferedResult is a result with the time of its next delivery.
type bufferedResult struct {
	outcome *wire.Outcome
	dueAt   time.Duration
}

// NewResultBuffer returns an empty buffer.
func NewResultBuffer(capacity int, delay, retryInterval time.Duration) *ResultBuffer {
	return &ResultBuffer{capacity: capacity, delay: delay, retryInterval: retryInterval, results: map[resultKey]*bufferedResult{}}
}

// Add adds a result, unless one of the same run is kept already; false if the buffer is full.
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

// Forget removes the result of a run, which is durable at the owner of its place.
func (k *ResultBuffer) Forget(id string, attempt int64) {
	k.mu.Lock()
	defer k.mu.Unlock()
	delete(k.results, resultKey{id, attempt})
}

// Has reports whether the result of a run is kept.
func (k *ResultBuffer) Has(id string, attempt int64) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.results[resultKey{id, attempt}] != nil
}

// Due returns the results that are to be delivered now, the longest due first, and schedules their next delivery.
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

// Count returns the number of results that are kept.
func (k *ResultBuffer) Count() int {
	k.mu.Lock()
	defer k.mu.Unlock()
	return len(k.results)
}
