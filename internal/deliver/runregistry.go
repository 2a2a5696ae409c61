package deliver

import (
	"cmp"
	"slices"
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
// Stage is how far a run in hand has come.
type Stage string

// The stages of a run.
const (
	StageQueued Stage = "line"  // it waits for its worker to end others
	StagePace   Stage = "pace"  // it waits for its turn under the pool's rate
	StageWork   Stage = "work"  // it is put to its worker
	StageOwner  Stage = "owner" // its result is on its way to its place's owner
)

// openRun is a run in hand: how far it has come, and since when.
type openRun struct {
	run   *wire.Run
	stage Stage
	since time.Duration
}

// RunStatus is a run of a message that an adapter has in hand.
type RunStatus struct {
	Attempt int64  `json:"attempt"`
	Place   int64  `json:"place"`
	Term    int64  `json:"term"` // of the owner that sent it
	Pool    string `json:"pool"`
	Worker  string `json:"worker"`
	Stage   Stage  `json:"stage"`
	SinceMs int64  `json:"since_ms"`
}

// Invariants: a run is open from its admission until its result is durable;
// terms has the newest term heard of each place, and nothing older is obeyed;
// never keeps each run that was told never to start, for as long as a stray
// order for it could still arrive.
type RunRegistry struct {
	maxRuns int

	mu      sync.Mutex
	runs    map[runKey]openRun
	refused map[runKey]time.Duration
	terms   map[int64]int64
}

// NewRunRegistry gives an empty book for at most so many open runs.
func NewRunRegistry(most int) *RunRegistry {
	return &RunRegistry{maxRuns: most, runs: map[runKey]openRun{}, refused: map[runKey]time.Duration{}, terms: map[int64]int64{}}
}

// Admit refuses what an older term sends, and what a newer owner was told
// would never run.
func (b *RunRegistry) Admit(r *wire.Run, now time.Duration) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	key := runKey{r.Id, r.Attempt}
	_, isOpen := b.runs[key]
	switch {
	case r.Term < b.terms[r.Place]:
		return errs.New(errs.Stale, "term %d of place %d is over", r.Term, r.Place)
	case isOpen:
		return errs.New(errs.Conflict, "the run is in hand already")
	case b.refused[key] != 0:
		return errs.New(errs.Rejected, "the run was given up")
	case len(b.runs) >= b.maxRuns:
		return errs.New(errs.Full, "%d runs are in hand", len(b.runs))
	}
	b.terms[r.Place] = r.Term
	b.runs[key] = openRun{r, StageQueued, now}
	return nil
}

// SetStage notes that a run has come to a stage.
func (b *RunRegistry) SetStage(r *wire.Run, stage Stage, now time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	key := runKey{r.Id, r.Attempt}
	if was, isOpen := b.runs[key]; isOpen {
		b.runs[key] = openRun{was.run, stage, now}
	}
}

// RunsOf lists the runs of a message that are in hand.
func (b *RunRegistry) RunsOf(id string, now time.Duration) []RunStatus {
	b.mu.Lock()
	defer b.mu.Unlock()
	out := []RunStatus{}
	for key, s := range b.runs {
		if key.id == id {
			out = append(out, RunStatus{key.attempt, s.run.Place, s.run.Term, s.run.Pool, s.run.Worker, s.stage, (now - s.since).Milliseconds()})
		}
	}
	slices.SortFunc(out, func(a, b RunStatus) int { return cmp.Compare(a.Attempt, b.Attempt) })
	return out
}

// OldestByStage tells for how long the run has been in each stage that has been there longest.
func (b *RunRegistry) OldestByStage(now time.Duration) map[Stage]time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	out := map[Stage]time.Duration{}
	for _, s := range b.runs {
		out[s.stage] = max(out[s.stage], now-s.since)
	}
	return out
}

// Remove closes a run: its result is durable, or it will never start.
func (b *RunRegistry) Remove(r *wire.Run) {
	b.mu.Lock()
	defer b.mu.Unlock()
	delete(b.runs, runKey{r.Id, r.Attempt})
}

// ResolveOpen tells a new owner what became of a run. A run that is not in hand here
// never will be: the word given is kept.
func (b *RunRegistry) ResolveOpen(m *wire.Open, now time.Duration) *wire.OpenAck {
	b.mu.Lock()
	defer b.mu.Unlock()
	if m.Term < b.terms[m.Place] {
		return &wire.OpenAck{Kind: string(errs.Stale)}
	}
	b.terms[m.Place] = m.Term
	key := runKey{m.Id, m.Attempt}
	if _, isOpen := b.runs[key]; isOpen {
		return &wire.OpenAck{State: "open"}
	}
	b.refused[key] = now + 1 // never 0, which would mean unknown
	return &wire.OpenAck{State: "never"}
}

// ExpireRefusals drops promises older than keep.
func (b *RunRegistry) ExpireRefusals(now, keep time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for key, at := range b.refused {
		if now-at > keep {
			delete(b.refused, key)
		}
	}
}

// Count reports how many runs are open.
func (b *RunRegistry) Count() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.runs)
}
