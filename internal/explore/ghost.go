package explore

import (
	"fmt"
	"slices"
	"strings"

	"caperwheel/internal/group"
	"caperwheel/internal/wire"
)

// ghost holds the ghost variables of a state, which only the invariants use: all entries ever committed, the owner of
// each term, and the content of replaced disks.
type ghost struct {
	committed     []wire.Entry     // committed[i] was committed at index i+1
	roster        []string         // the newest committed roster
	commitRoster  []string         // the roster whose majority committed the newest entry
	termOwners    map[int64]string // term -> replica and start of its process
	replacedDisks map[string]disk  // member -> content of its disk when it was replaced
	replacedCount int              // disks replaced so far
}

// recordBreach records the breach of an invariant. Only the first one of a state is kept.
func (w *World) recordBreach(form string, args ...any) {
	if w.firstBreach == "" {
		w.firstBreach = fmt.Sprintf(form, args...)
	}
}

// Breach describes the invariant that does not hold; empty if all hold.
func (w *World) Breach() string { return w.firstBreach }

// apply applies committed entries at a replica. They must follow the applied index without a gap and be the same
// entries that other replicas have applied.
func (w *World) apply(r *replica, entries []wire.Entry) {
	for _, e := range entries {
		at := int(e.Index) - 1
		switch {
		case e.Index != r.applied+1:
			w.recordBreach("%s applies index %d after index %d", r.id, e.Index, r.applied)
		case at < len(w.ghost.committed) && !isEqual(w.ghost.committed[at], e):
			w.recordBreach("%s applies index %d of term %d, %s, but term %d, %s was committed there", r.id, e.Index, e.Term, commandText(e),
				w.ghost.committed[at].Term, commandText(w.ghost.committed[at]))
		case at == len(w.ghost.committed):
			w.recordCommit(r, e)
		}
		r.applied = e.Index
	}
}

// commandText returns the command of an entry without its padding.
func commandText(e wire.Entry) string {
	text, _, _ := strings.Cut(string(e.Data), "\x00")
	return text
}

// isEqual compares entries without their index.
func isEqual(a, b wire.Entry) bool {
	return a.Term == b.Term && a.Kind == b.Kind && string(a.Data) == string(b.Data)
}

// recordCommit records a newly committed entry. Every owner of a later term must hold it already.
func (w *World) recordCommit(r *replica, e wire.Entry) {
	w.ghost.committed = append(w.ghost.committed, e)
	w.ghost.commitRoster = r.stateMachine.View().Roster
	if e.Kind == group.EntryRoster {
		w.ghost.roster = rosterOf(e)
	}
	term := r.stateMachine.View().Term
	for _, other := range w.replicas {
		if v := other.stateMachine.View(); other.id != r.id && v.Role == group.Owner && v.Term > term {
			w.checkComplete(other)
		}
	}
}

// install checks that a snapshot that a replica installs ends at a committed entry and is not older than the applied
// index.
func (w *World) install(r *replica, snapshot *group.Snapshot) {
	at := int(snapshot.Index) - 1
	if at >= len(w.ghost.committed) || w.ghost.committed[at].Term != snapshot.Term {
		w.recordBreach("%s installs a snapshot at index %d of term %d, which was never committed", r.id, snapshot.Index, snapshot.Term)
	}
	if snapshot.Index < r.applied {
		w.recordBreach("%s goes back from index %d to a snapshot at index %d", r.id, r.applied, snapshot.Index)
	}
	r.applied = snapshot.Index
}

// recordOwner checks that a term has a single owner, within a single run of its process, and that a new owner holds all
// committed entries. An owner whose disk does not hold the term yet, and which has sent nothing as owner, is not
// recorded: after a restart it may win the same term again.
func (w *World) recordOwner(r *replica, v group.View) {
	if v.Role != group.Owner || r.disk.hardState.Term < v.Term && !w.hasSentAsOwner(r, v.Term) {
		return
	}
	owner := fmt.Sprintf("%s in start %d", r.id, r.startCount)
	previous := w.ghost.termOwners[v.Term]
	if previous == owner {
		return
	}
	if previous != "" {
		w.recordBreach("term %d has two owners: %s and %s", v.Term, previous, owner)
	}
	w.ghost.termOwners[v.Term] = owner
	w.checkComplete(r)
	w.checkRoster(r)
}

// hasSentAsOwner reports whether a message that a replica sent as the owner of a term is in flight.
func (w *World) hasSentAsOwner(r *replica, term int64) bool {
	return slices.ContainsFunc(w.inFlight, func(m *wire.GroupMsg) bool {
		return m.From == r.id && m.Term == term && (m.Kind == group.MsgAppend || m.Kind == group.MsgSnapshot)
	})
}

// checkComplete checks leader completeness: an owner holds every committed entry.
func (w *World) checkComplete(r *replica) {
	hard, log := r.stateMachine.DurableState()
	if base := r.stateMachine.View().Last - int64(len(log)); !w.holdsCommitted(base, log) {
		w.recordBreach("%s owns term %d and lacks a committed entry", r.id, hard.Term)
	}
}

// holdsCommitted reports whether a snapshot at index base and the log after it hold all committed entries.
func (w *World) holdsCommitted(base int64, log []wire.Entry) bool {
	if base+int64(len(log)) < int64(len(w.ghost.committed)) {
		return false
	}
	for i := base; i < int64(len(w.ghost.committed)); i++ {
		if !isEqual(log[i-base], w.ghost.committed[i]) {
			return false
		}
	}
	return true
}

// checkDurability checks invariants of every state: a majority of the roster that committed the newest entry has synced
// all committed entries, and every majority of the committed roster has a member that has. A disk that was replaced
// counts with its former content: its loss is an injected fault, not an error of the group.
func (w *World) checkDurability() {
	if len(w.ghost.committed) == 0 {
		return
	}
	commitVoters, voters := group.Voters(w.ghost.commitRoster), group.Voters(w.ghost.roster)
	if complete := w.countComplete(commitVoters); complete <= len(commitVoters)/2 {
		w.recordBreach("all %d committed entries are synced by only %d of the voters %v", len(w.ghost.committed), complete, commitVoters)
	}
	if complete := w.countComplete(voters); len(voters)-complete > len(voters)/2 {
		w.recordBreach("of the voters %v, only %d have synced all %d committed entries", voters, complete, len(w.ghost.committed))
	}
	w.checkElections()
}

// countComplete counts the members whose disks hold all committed entries.
func (w *World) countComplete(members []string) int {
	complete := 0
	for _, m := range members {
		d, isGone := w.ghost.replacedDisks[m]
		if at := w.replicaIndex(m); !isGone && at >= 0 && w.replicas[at].id == m {
			d = w.replicas[at].disk
		}
		if w.holdsCommitted(d.base(), d.log) {
			complete++
		}
	}
	return complete
}

// checkReads checks that reads are linearizable. An owner answers a read once its ownership is confirmed as of a time
// not before the read, and reads at followers depend on the same time. So the owner must have applied everything that
// was committed at the time of its confirmation.
func (w *World) checkReads(r *replica, v group.View) {
	if v.Role != group.Owner {
		r.commitMarks, r.heartbeatCommit = nil, 0
		return
	}
	if n := len(r.commitMarks); n == 0 || r.commitMarks[n-1].at < r.now {
		r.commitMarks = append(slices.Clip(r.commitMarks), commitMark{r.now, len(w.ghost.committed)})
	}
	for len(r.commitMarks) > 1 && r.commitMarks[0].at < v.ConfirmedAt {
		r.commitMarks = r.commitMarks[1:]
	}
	if first := r.commitMarks[0]; r.isOwner && v.IsConfirmed && first.at == v.ConfirmedAt && r.applied < int64(first.committed) {
		w.recordBreach("%s answers a read at applied index %d, although %d entries were committed when the read began", r.id, r.applied, first.committed)
	}
}

// checkRoster checks that the roster of the newest owner differs from the committed one by one voter at most, so that
// any two majorities intersect.
func (w *World) checkRoster(r *replica) {
	v := r.stateMachine.View()
	for term := range w.ghost.termOwners {
		if v.Role != group.Owner || term > v.Term {
			return
		}
	}
	difference := map[string]int{}
	for _, m := range group.Voters(v.Roster) {
		difference[m]++
	}
	for _, m := range group.Voters(w.ghost.roster) {
		difference[m]--
	}
	differing := 0
	for _, n := range difference {
		if n != 0 {
			differing++
		}
	}
	if differing > 1 {
		w.recordBreach("%s owns term %d with roster %v while roster %v is committed", r.id, v.Term, v.Roster, w.ghost.roster)
	}
}
