package scale

import (
	"sync"
	"time"

	"caperwheel/internal/wire"
)

// ledger notes when each change came into force at each hollow adapter.
//
// Invariant: a change is noted once for each life of a daemon that was there
// before the change; a daemon that starts behind it is told it, not given it.
type ledger struct {
	mu      sync.Mutex
	isOn    bool
	reached map[partRevision][]int64 // moments, in microseconds of the machine's clock
}

type partRevision struct{ part, revision int64 }

// Reached is the ledger as it is handed over: moments by part and revision.
type Reached map[int64]map[int64][]int64

func newLedger() *ledger { return &ledger{reached: map[partRevision][]int64{}} }

// begin forgets what was noted and notes from now on.
func (l *ledger) begin() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.isOn, l.reached = true, map[partRevision][]int64{}
}

// note takes in how far a daemon has come, and gives it back for the next time.
func (l *ledger) note(was, is []wire.PartRevision) []wire.PartRevision {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.isOn || was == nil {
		return is
	}
	at := time.Now().UnixMicro()
	for i, s := range is {
		for revision := was[i].Revision + 1; revision <= s.Revision; revision++ {
			key := partRevision{s.Part, revision}
			l.reached[key] = append(l.reached[key], at)
		}
	}
	return is
}

func (l *ledger) all() Reached {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := Reached{}
	for key, moments := range l.reached {
		if out[key.part] == nil {
			out[key.part] = map[int64][]int64{}
		}
		out[key.part][key.revision] = moments
	}
	return out
}
