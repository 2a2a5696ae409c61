package explore

import (
	"slices"
	"strings"

	"caperwheel/internal/group"
)

// Options define the group that is explored, and bound the events that may happen to it.
type Options struct {
	Members       int                 // founding members
	SpareMachines int                 // blank machines that may be added as learners
	MaxEvents     [kindCount]int      // how often an event of each kind may happen; Deliver and Sync are unlimited
	PaddingBytes  int                 // bytes added to each command; a log that gets too large is replaced by a snapshot
	MaxInFlight   int                 // messages in flight at once, beyond which the oldest are lost; 0 is no limit
	Setup         func(*World) *World // produces the first state from a new group; nil starts with the new group
}

// hasBudget reports whether another event of a kind may happen.
func (w *World) hasBudget(k Kind) bool {
	return k == Deliver || k == Sync || w.eventCounts[k] < w.options.MaxEvents[k]
}

// Enabled returns all events that may happen next, in a fixed order.
func (w *World) Enabled() []Event {
	out := []Event{}
	for _, m := range w.inFlight {
		if at := w.replicaIndex(m.To); at >= 0 && w.replicas[at].name != w.stoppedMachine {
			out = append(out, Event{Kind: Deliver, Replica: at, Message: m})
			if w.hasBudget(Duplicate) {
				out = append(out, Event{Kind: Duplicate, Replica: at, Message: m})
			}
		}
	}
	for at, r := range w.replicas {
		if r.name == w.stoppedMachine {
			continue
		}
		if len(r.unsynced) > 0 {
			out = append(out, Event{Kind: Sync, Replica: at})
		}
		v := r.stateMachine.View()
		for _, k := range []Kind{Timeout, HeartbeatTick, ClockJump, Propose, Compact, ReplaceDisk} {
			if w.hasBudget(k) && w.canChange(k, r, v) {
				out = append(out, Event{Kind: k, Replica: at})
			}
		}
		for keep := 0; w.hasBudget(Restart) && keep <= len(r.unsynced); keep++ {
			out = append(out, Event{Kind: Restart, Replica: at, SyncedWrites: keep})
		}
		if v.Role == group.Owner {
			out = w.ownerEvents(out, at, r, v)
		}
	}
	return out
}

// canChange reports whether an event of a kind could change anything at a replica. It excludes events without effect,
// and a disk replacement that the group need not survive.
func (w *World) canChange(k Kind, r *replica, v group.View) bool {
	switch k {
	case Timeout:
		return v.Role != group.Owner && slices.Contains(v.Roster, r.id)
	case HeartbeatTick, ClockJump, Propose:
		return v.Role == group.Owner
	case Compact:
		return r.applied > v.Last-int64(r.logLength())
	case ReplaceDisk:
		return w.isFullyReplicated()
	}
	return false
}

// logLength returns the number of entries in a replica's log.
func (r *replica) logLength() int {
	_, log := r.stateMachine.DurableState()
	return len(log)
}

// isFullyReplicated reports whether every voter of the committed roster has its disk with all committed entries. Only
// then may another disk be replaced.
func (w *World) isFullyReplicated() bool {
	for _, m := range group.Voters(w.ghost.roster) {
		at := w.replicaIndex(m)
		if at < 0 || w.replicas[at].id != m || !w.holdsCommitted(w.replicas[at].disk.base(), w.replicas[at].disk.log) {
			return false
		}
	}
	return true
}

// ownerEvents appends the events that only an owner can carry out: ownership transfers and roster changes.
func (w *World) ownerEvents(out []Event, at int, r *replica, v group.View) []Event {
	for _, other := range w.replicas {
		isMember, isLearner := slices.Contains(v.Roster, other.id), slices.Contains(v.Roster, "~"+other.id)
		if w.hasBudget(TransferOwnership) && isMember && other.id != r.id {
			out = append(out, Event{Kind: TransferOwnership, Replica: at, Member: other.id})
		}
		if w.hasBudget(AddLearner) && !isMember && !isLearner {
			out = append(out, Event{Kind: AddLearner, Replica: at, Member: other.id})
		}
		if w.hasBudget(Promote) && isLearner {
			out = append(out, Event{Kind: Promote, Replica: at, Member: other.id})
		}
	}
	for _, m := range v.Roster {
		if w.hasBudget(RemoveMember) && len(group.Voters(v.Roster)) > 1 {
			out = append(out, Event{Kind: RemoveMember, Replica: at, Member: strings.TrimPrefix(m, "~")})
		}
	}
	return out
}
