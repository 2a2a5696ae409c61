package repair

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"caperwheel/internal/wire"
)

// Keeper keeps results for adapters that may not live to bring them home: an
// agent for the adapter beside it, a store for any adapter that cannot reach a
// place's owner. What is not forgotten in time is handed over. It does no I/O.
//
// Invariant: at most most results are kept; of one run only one, the first.
type Keeper struct {
	most  int
	delay time.Duration // a result is handed over when it was kept so long
	again time.Duration // and again after this, until it is forgotten

	mu   sync.Mutex
	kept map[keptKey]*kept
}

type keptKey struct {
	id      string
	attempt int64
}

type kept struct {
	outcome *wire.Outcome
	dueAt   time.Duration
}

// NewKeeper gives an empty one.
func NewKeeper(most int, delay, again time.Duration) *Keeper {
	return &Keeper{most: most, delay: delay, again: again, kept: map[keptKey]*kept{}}
}

// Keep takes a result in; false when there is no room.
func (k *Keeper) Keep(o *wire.Outcome, now time.Duration) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	key := keptKey{o.Id, o.Proof.Attempt}
	if k.kept[key] != nil {
		return true
	}
	if len(k.kept) >= k.most {
		return false
	}
	copied := *o
	copied.Step = ""
	k.kept[key] = &kept{&copied, now + k.delay}
	return true
}

// Forget drops a result that is durable at its owner.
func (k *Keeper) Forget(id string, attempt int64) {
	k.mu.Lock()
	defer k.mu.Unlock()
	delete(k.kept, keptKey{id, attempt})
}

// Has reports whether a run's result is kept.
func (k *Keeper) Has(id string, attempt int64) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.kept[keptKey{id, attempt}] != nil
}

// Due gives the results to hand over now, oldest first.
func (k *Keeper) Due(now time.Duration) []*wire.Outcome {
	k.mu.Lock()
	defer k.mu.Unlock()
	due := []*kept{}
	for _, x := range k.kept {
		if x.dueAt <= now {
			due = append(due, x)
		}
	}
	slices.SortFunc(due, func(a, b *kept) int {
		return cmp.Or(cmp.Compare(a.dueAt, b.dueAt), cmp.Compare(a.outcome.Id, b.outcome.Id))
	})
	out := []*wire.Outcome{}
	for _, x := range due {
		x.dueAt = now + k.again
		out = append(out, x.outcome)
	}
	return out
}

// Count reports how many results are kept.
func (k *Keeper) Count() int {
	k.mu.Lock()
	defer k.mu.Unlock()
	return len(k.kept)
}
