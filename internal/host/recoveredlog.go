package host

import (
	"time"

	"caperwheel/internal/wire"
)

// replayed tells which entries were in the replica's log as it began: they were proposed before that moment, however
// long it takes until they are known to be committed.
type recoveredLog struct {
	startedAt time.Duration
	first     int64   // index of the first of them
	terms     []int64 // of each of them
}

func newRecoveredLog(log []wire.Entry, at time.Duration) recoveredLog {
	r := recoveredLog{startedAt: at}
	for _, e := range log {
		if len(r.terms) == 0 {
			r.first = e.Index
		}
		r.terms = append(r.terms, e.Term)
	}
	return r
}

// loggedAt returns a moment at which the log had the entry already: the replica's beginning, or now. An entry is the one that was
// there only if it has the same term; else another owner's has taken its place.
func (r *recoveredLog) loggedAt(e wire.Entry, now time.Duration) time.Duration {
	at := e.Index - r.first
	if at >= int64(len(r.terms)) {
		r.terms = nil // all that come are new
	}
	if at < 0 || at >= int64(len(r.terms)) || r.terms[at] != e.Term {
		return now
	}
	return r.startedAt
}

// LoggedAt returns, while the machine applies a command, a moment of the replica's clock at which its log had that already. The
// command was proposed before it.
func (h *Host) LoggedAt() time.Duration { return h.loggedAt }
