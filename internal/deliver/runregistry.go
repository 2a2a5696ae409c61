package deliver

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"caperwheel/internal/errs"
	"caperwheel/internal/wire"
)

// runKey identifies one run (delivery attempt) of one message.
type runKey struct {
	id      string
	attempt int64
}

// Stage is the progress of an open run.
type Stage string

// The stages of a run, in order.
const (
	StageQueued Stage = "line"  // waits until its worker has capacity
	StagePace   Stage = "pace"  // waits under the pool's rate limit
	StageWork   Stage = "work"  // was sent to its worker
	StageOwner  Stage = "owner" // its result is being reported to the place's owner
)

// openRun is an open run, its stage and when it entered that.
type openRun struct {
	run   *wire.Run
	stage Stage
	since time.Duration
}

// RunStatus is the JSON status of an open run.
type RunStatus struct {
	Attempt int64  `json:"attempt"`
	Place   int64  `json:"place"`
	Term    int64  `json:"term"` // of the owner that sent the run
	Pool    string `json:"pool"`
	Worker  string `json:"worker"`
	Stage   Stage  `json:"stage"`
	SinceMs int64  `json:"since_ms"`
}

// RunRegistry is an adapter's record of its commitments to the owners of places: the runs that it must report, and the
// runs that it has refused for good. It does no I/O.
//
// Invariants: a run is open from its admission until its result is durable; terms has the newest term seen of each
// place, and requests of older terms are rejected; refused keeps each run that an owner was told will never start, for
// as long as a delayed order for it could still arrive.
type RunRegistry struct {
	maxRuns int

	mu      sync.Mutex
	runs    map[runKey]openRun
	refused map[runKey]time.Duration
	terms   map[int64]int64
}

// NewRunRegistry returns an empty registry for at most the given number of open runs.
func NewRunRegistry(maxRuns int) *RunRegistry {
	return &RunRegistry{maxRuns: maxRuns, runs: map[runKey]openRun{}, refused: map[runKey]time.Duration{}, terms: map[int64]int64{}}
}

// Admit opens a run. It rejects runs of an older term, runs that were refused for good, duplicates, and runs beyond the
// maximum.
func (b *RunRegistry) Admit(r *wire.Run, now time.Duration) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	key := runKey{r.Id, r.Attempt}
	_, isOpen := b.runs[key]
	switch {
	case r.Term < b.terms[r.Place]:
		return errs.New(errs.Stale, "run refused: term %d of place %d has been superseded", r.Term, r.Place)
	case isOpen:
		return errs.New(errs.Conflict, "run refused: it is already open on this adapter")
	case b.refused[key] != 0:
		return errs.New(errs.Rejected, "run refused: the place's owner was told that it will never start")
	case len(b.runs) >= b.maxRuns:
		return errs.New(errs.Full, "run refused: %d runs are open, the maximum", len(b.runs))
	}
	b.terms[r.Place] = r.Term
	b.runs[key] = openRun{r, StageQueued, now}
	return nil
}

// SetStage records the stage that an open run has entered.
func (b *RunRegistry) SetStage(r *wire.Run, stage Stage, now time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	key := runKey{r.Id, r.Attempt}
	if was, isOpen := b.runs[key]; isOpen {
		b.runs[key] = openRun{was.run, stage, now}
	}
}

// RunsOf lists the open runs of a message.
func (b *RunRegistry) RunsOf(id string, now time.Duration) []RunStatus {
	b.mu.Lock()
	defer b.mu.Unlock()
	out := []RunStatus{}
	for key, open := range b.runs {
		if key.id == id {
			out = append(out, RunStatus{key.attempt, open.run.Place, open.run.Term, open.run.Pool, open.run.Worker, open.stage, (now - open.since).Milliseconds()})
		}
	}
	slices.SortFunc(out, func(a, b RunStatus) int { return cmp.Compare(a.Attempt, b.Attempt) })
	return out
}

// OldestByStage returns, for each stage, how long the oldest run in it has been there.
func (b *RunRegistry) OldestByStage(now time.Duration) map[Stage]time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	out := map[Stage]time.Duration{}
	for _, open := range b.runs {
		out[open.stage] = max(out[open.stage], now-open.since)
	}
	return out
}

// Remove closes a run whose result is durable or that will never start.
func (b *RunRegistry) Remove(r *wire.Run) {
	b.mu.Lock()
	defer b.mu.Unlock()
	delete(b.runs, runKey{r.Id, r.Attempt})
}

// ResolveOpen tells a new owner of a place whether a run is open. A run that is not is refused from then on, so that
// the answer remains true.
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
	b.refused[key] = now + 1 // never 0, the zero value of a missing entry
	return &wire.OpenAck{State: "never"}
}

// ExpireRefusals removes refusals older than keep.
func (b *RunRegistry) ExpireRefusals(now, keep time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for key, at := range b.refused {
		if now-at > keep {
			delete(b.refused, key)
		}
	}
}

// Count returns the number of open runs.
func (b *RunRegistry) Count() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.runs)
}
