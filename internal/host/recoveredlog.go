package host

import (
	"time"

	"caperwheel/internal/wire"
)

// recoveredLog records which entries were in the replica's log when it started: they were proposed before
// that moment, however long it takes until they are known to be committed.
type recoveredLog struct {
	startedAt time.Duration
	first     int64   // index of the first of them
	terms     []int64 // term of each of them
}

// newRecoveredLog records the entries of a log that was read at a start.
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

// loggedAt returns a time at which the log already had the entry: the start, or now. An entry is the one
// that was in the log only if its term is the same; otherwise an entry of another owner has replaced that
// one.
func (r *recoveredLog) loggedAt(e wire.Entry, now time.Duration) time.Duration {
	offset := e.Index - r.first
	if offset >= int64(len(r.terms)) {
		r.terms = nil // all later entries are new
	}
	if offset < 0 || offset >= int64(len(r.terms)) || r.terms[offset] != e.Term {
		return now
	}
	return r.startedAt
}

// LoggedAt returns, while the machine applies a command, a time of the replica's clock at which its log
// already had the command. The command was proposed before it.
func (h *Host) LoggedAt() time.Duration { return h.loggedAt }
