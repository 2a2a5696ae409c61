package explore

import (
	"slices"
	"strings"
	"sync"

	"caperwheel/internal/group"
	"caperwheel/internal/wire"
)

// checkElections holds in every state: a replica that lacks a committed entry
// finds no majority of its roster whose logs are no newer than its own, so that
// it can never own the group. What its voters have not synced does not count.
func (w *World) checkElections() {
	for _, r := range w.replicas {
		_, log := r.machine.DurableState()
		v := r.machine.View()
		voters := group.Voters(v.Roster)
		if !slices.Contains(voters, r.id) || w.holdsCommitted(v.Last-int64(len(log)), log) {
			continue
		}
		own := disk{snapshot: r.snapshot, log: log}
		granting := []string{}
		for _, m := range voters {
			at := w.replicaIndex(m) // a disk that is gone gives no vote, nor does one that is blank
			if m == r.id || at >= 0 && w.replicas[at].id == m && len(w.replicas[at].machine.View().Roster) > 0 &&
				own.isUpToDate(w.replicas[at].disk) {
				granting = append(granting, m)
			}
		}
		if len(granting) > len(voters)/2 {
			w.recordBreach("%s lacks a committed entry and could be elected by %v", r.id, granting)
		}
	}
}

// isUpToDate compares logs as a vote does.
func (d disk) isUpToDate(other disk) bool {
	return d.lastTerm() > other.lastTerm() || d.lastTerm() == other.lastTerm() && d.last() >= other.last()
}

func (d disk) last() int64 { return d.base() + int64(len(d.log)) }

func (d disk) lastTerm() int64 {
	if n := len(d.log); n > 0 {
		return d.log[n-1].Term
	}
	if d.snapshot != nil {
		return d.snapshot.Term
	}
	return 0
}

// checkPromote: who becomes a voter has synced all that its owner knew to be
// committed when its last round began; the majority by which the new roster is
// committed must have all. A disk that was replaced since counts with what it held.
func (w *World) checkPromote(r *replica, c group.Change) {
	if c.Promote == "" {
		return
	}
	d, isGone := w.ghost.replacedDisks[c.Promote]
	if at := w.replicaIndex(c.Promote); !isGone && at >= 0 {
		d = w.replicas[at].disk
	}
	if d.last() < r.heartbeatCommit {
		w.recordBreach("%s is made a voter with %d of %d committed entries", c.Promote, d.last(), r.heartbeatCommit)
	}
}

// rosterCache keeps what rosterOf has read.
var rosterCache sync.Map

// rosterOf reads the members from a roster entry.
func rosterOf(e wire.Entry) []string {
	if held, isHeld := rosterCache.Load(string(e.Data)); isHeld {
		return held.([]string)
	}
	out := []string{}
	for _, m := range strings.Split(strings.Trim(string(e.Data), "[]"), ",") {
		out = append(out, strings.Trim(m, `"`))
	}
	rosterCache.Store(string(e.Data), out)
	return out
}
