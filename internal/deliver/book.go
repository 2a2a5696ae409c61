package deliver

import (
	"sync"
	"time"

	"caperwheel/internal/errs"
	"caperwheel/internal/wire"
)

// runKey names one run of one message.
type runKey struct {
	id      string
	attempt int64
}

// Book is what an adapter has promised the owners of places. It does no I/O.
//
// Invariants: a run is open from its admission until its result is durable;
// terms has the newest term heard of each place, and nothing older is obeyed;
// never keeps each run that was told never to start, for as long as a stray
// order for it could still arrive.
type Book struct {
	most int

	mu    sync.Mutex
	runs  map[runKey]bool
	never map[runKey]time.Duration
	terms map[int64]int64
}

// NewBook gives an empty book for at most so many open runs.
func NewBook(most int) *Book {
	return &Book{most: most, runs: map[runKey]bool{}, never: map[runKey]time.Duration{}, terms: map[int64]int64{}}
}

// Admit refuses what an older term sends, and what a newer owner was told
// would never run.
func (b *Book) Admit(r *wire.Run) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	key := runKey{r.Id, r.Attempt}
	switch {
	case r.Term < b.terms[r.Place]:
		return errs.New(errs.Stale, "term %d of place %d is over", r.Term, r.Place)
	case b.runs[key]:
		return errs.New(errs.Conflict, "the run is in hand already")
	case b.never[key] != 0:
		return errs.New(errs.Rejected, "the run was given up")
	case len(b.runs) >= b.most:
		return errs.New(errs.Full, "%d runs are in hand", len(b.runs))
	}
	b.terms[r.Place] = r.Term
	b.runs[key] = true
	return nil
}

// Forget closes a run: its result is durable, or it will never start.
func (b *Book) Forget(r *wire.Run) {
	b.mu.Lock()
	defer b.mu.Unlock()
	delete(b.runs, runKey{r.Id, r.Attempt})
}

// Open tells a new owner what became of a run. A run that is not in hand here
// never will be: the word given is kept.
func (b *Book) Open(m *wire.Open, now time.Duration) *wire.OpenAck {
	b.mu.Lock()
	defer b.mu.Unlock()
	if m.Term < b.terms[m.Place] {
		return &wire.OpenAck{Kind: string(errs.Stale)}
	}
	b.terms[m.Place] = m.Term
	key := runKey{m.Id, m.Attempt}
	if b.runs[key] {
		return &wire.OpenAck{State: "open"}
	}
	b.never[key] = now + 1 // never 0, which would mean unknown
	return &wire.OpenAck{State: "never"}
}

// Tidy drops promises older than keep.
func (b *Book) Tidy(now, keep time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for key, at := range b.never {
		if now-at > keep {
			delete(b.never, key)
		}
	}
}

// Count reports how many runs are open.
func (b *Book) Count() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.runs)
}
