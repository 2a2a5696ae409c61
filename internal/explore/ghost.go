package explore

import (
	"fmt"
	"slices"
	"strings"

	"caperwheel/internal/group"
	"caperwheel/internal/wire"
)

// ghost records what no replica can see: all that was ever committed, who
// owned which term, and the disks that are gone.
type ghost struct {
	committed     []wire.Entry     // chosen[i] was committed at index i+1
	roster        []string         // the newest committed one
	commitRoster  []string         // the roster by which the newest commit was counted
	termOwners    map[int64]string // term -> the replica, with its life
	replacedDisks map[string]disk  // member -> what its disk held when it was replaced
	replacedCount int              // disks replaced so far
}

func (w *World) recordBreach(form string, args ...any) {
	if w.firstBreach == "" {
		w.firstBreach = fmt.Sprintf(form, args...)
	}
}

// Breach tells which invariant does not hold; empty if all do.
func (w *World) Breach() string { return w.firstBreach }

// apply compares what a replica applies with what was committed before.
func (w *World) apply(r *replica, entries []wire.Entry) {
	for _, e := range entries {
		at := int(e.Index) - 1
		switch {
		case e.Index != r.applied+1:
			w.recordBreach("%s applies index %d after %d", r.id, e.Index, r.applied)
		case at < len(w.ghost.committed) && !isEqual(w.ghost.committed[at], e):
			w.recordBreach("%s applies %d/%d %s where %d %s was committed", r.id, e.Index, e.Term, commandText(e),
				w.ghost.committed[at].Term, commandText(w.ghost.committed[at]))
		case at == len(w.ghost.committed):
			w.recordCommit(r, e)
		}
		r.applied = e.Index
	}
}

// commandText tells a command without its padding.
func commandText(e wire.Entry) string {
	text, _, _ := strings.Cut(string(e.Data), "\x00")
	return text
}

func isEqual(a, b wire.Entry) bool {
	return a.Term == b.Term && a.Kind == b.Kind && string(a.Data) == string(b.Data)
}

// recordCommit records a commit. Every owner of a later term must hold it already.
func (w *World) recordCommit(r *replica, e wire.Entry) {
	w.ghost.committed = append(w.ghost.committed, e)
	w.ghost.commitRoster = r.machine.View().Roster
	if e.Kind == group.EntryRoster {
		w.ghost.roster = rosterOf(e)
	}
	term := r.machine.View().Term
	for _, other := range w.replicas {
		if v := other.machine.View(); other.id != r.id && v.Role == group.Owner && v.Term > term {
			w.checkComplete(other)
		}
	}
}

// install checks that an image stands for what was committed up to it.
func (w *World) install(r *replica, snapshot *group.Snapshot) {
	at := int(snapshot.Index) - 1
	if at >= len(w.ghost.committed) || w.ghost.committed[at].Term != snapshot.Term {
		w.recordBreach("%s installs an image at %d/%d that was never committed", r.id, snapshot.Index, snapshot.Term)
	}
	if snapshot.Index < r.applied {
		w.recordBreach("%s goes back from %d to an image at %d", r.id, r.applied, snapshot.Index)
	}
	r.applied = snapshot.Index
}

// recordOwner holds that a term has one owner, in one life of its process, and
// that a new one has all that was committed. What its disk does not know and
// nobody was told may happen again after a restart.
func (w *World) recordOwner(r *replica, v group.View) {
	if v.Role != group.Owner || r.disk.hardState.Term < v.Term && !w.hasSentAsOwner(r, v.Term) {
		return
	}
	life := fmt.Sprintf("%s in life %d", r.id, r.startCount)
	was := w.ghost.termOwners[v.Term]
	if was == life {
		return
	}
	if was != "" {
		w.recordBreach("term %d is owned by %s and by %s", v.Term, was, life)
	}
	w.ghost.termOwners[v.Term] = life
	w.checkComplete(r)
	w.checkRoster(r)
}

// hasSentAsOwner reports whether a replica has sent anything as the owner of a term.
func (w *World) hasSentAsOwner(r *replica, term int64) bool {
	return slices.ContainsFunc(w.inFlight, func(m *wire.GroupMsg) bool {
		return m.From == r.id && m.Term == term && (m.Kind == group.MsgAppend || m.Kind == group.MsgSnapshot)
	})
}

// checkComplete: an owner holds every entry that was committed.
func (w *World) checkComplete(r *replica) {
	hard, log := r.machine.DurableState()
	if base := r.machine.View().Last - int64(len(log)); !w.holdsCommitted(base, log) {
		w.recordBreach("%s owns term %d and lacks a committed entry", r.id, hard.Term)
	}
}

// holdsCommitted reports whether a log above an image has all that was committed.
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

// checkDurability holds in every state: of the voters by whom the newest commit was
// counted, a majority have synced all that was committed, and no majority of
// the committed roster is without one who has. A disk that was replaced counts
// with what it held: its loss was a fault's doing, not the system's.
func (w *World) checkDurability() {
	if len(w.ghost.committed) == 0 {
		return
	}
	counted, voters := group.Voters(w.ghost.commitRoster), group.Voters(w.ghost.roster)
	if whole := w.countComplete(counted); whole <= len(counted)/2 {
		w.recordBreach("%d committed entries are synced by %d of the voters %v", len(w.ghost.committed), whole, counted)
	}
	if whole := w.countComplete(voters); len(voters)-whole > len(voters)/2 {
		w.recordBreach("of the voters %v only %d have synced all %d committed entries", voters, whole, len(w.ghost.committed))
	}
	w.checkElections()
}

// countComplete counts the members whose disks have all that was committed.
func (w *World) countComplete(members []string) int {
	count := 0
	for _, m := range members {
		d, isGone := w.ghost.replacedDisks[m]
		if at := w.replicaIndex(m); !isGone && at >= 0 && w.replicas[at].id == m {
			d = w.replicas[at].disk
		}
		if w.holdsCommitted(d.base(), d.log) {
			count++
		}
	}
	return count
}

// checkReads: an owner answers a read once it is confirmed as of a time that is
// no earlier than the question, and its followers go by that time, too. So all
// that was committed by then must have been applied.
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
		w.recordBreach("%s answers a read from %d, though %d were committed when it was asked", r.id, r.applied, first.committed)
	}
}

// checkRoster: the roster of the newest owner differs from the committed one in
// one voter at most, so that any two majorities meet.
func (w *World) checkRoster(r *replica) {
	v := r.machine.View()
	for term := range w.ghost.termOwners {
		if v.Role != group.Owner || term > v.Term {
			return
		}
	}
	count := map[string]int{}
	for _, m := range group.Voters(v.Roster) {
		count[m]++
	}
	for _, m := range group.Voters(w.ghost.roster) {
		count[m]--
	}
	apart := 0
	for _, n := range count {
		if n != 0 {
			apart++
		}
	}
	if apart > 1 {
		w.recordBreach("%s owns term %d under %v while %v is committed", r.id, v.Term, v.Roster, w.ghost.roster)
	}
}
