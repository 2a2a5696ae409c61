package explore

import (
	"slices"
	"strings"
	"sync"

	"caperwheel/internal/group"
	"caperwheel/internal/wire"
)

// checkElections checks an invariant of every state: a replica that lacks a committed entry cannot become owner,
// because no majority of its roster has logs that are at most as up to date as its own. Of the voters, only synced
// entries count.
func (w *World) checkElections() {
	for _, r := range w.replicas {
		_, log := r.stateMachine.DurableState()
		v := r.stateMachine.View()
		voters := group.Voters(v.Roster)
		if !slices.Contains(voters, r.id) || w.holdsCommitted(v.Last-int64(len(log)), log) {
			continue
		}
		ownLog := disk{snapshot: r.snapshot, log: log}
		granting := []string{}
		for _, m := range voters {
			at := w.replicaIndex(m) // a replaced disk and a blank replica grant no vote
			if m == r.id || at >= 0 && w.replicas[at].id == m && len(w.replicas[at].stateMachine.View().Roster) > 0 &&
				ownLog.isUpToDate(w.replicas[at].disk) {
				granting = append(granting, m)
			}
		}
		if len(granting) > len(voters)/2 {
			w.recordBreach("%s lacks a committed entry and could be elected by %v", r.id, granting)
		}
	}
}

// isUpToDate reports whether the log is at least as up to date as the other one, by the rule for granting a vote.
func (d disk) isUpToDate(other disk) bool {
	return d.lastTerm() > other.lastTerm() || d.lastTerm() == other.lastTerm() && d.last() >= other.last()
}

// last returns the index of the last entry.
func (d disk) last() int64 { return d.base() + int64(len(d.log)) }

// lastTerm returns the term of the last entry, 0 if there is none.
func (d disk) lastTerm() int64 {
	if n := len(d.log); n > 0 {
		return d.log[n-1].Term
	}
	if d.snapshot != nil {
		return d.snapshot.Term
	}
	return 0
}

// checkPromote checks that a learner which is made a voter has synced all entries that the owner knew to be committed
// when its last heartbeat round began, because the majority that commits the new roster must hold all committed
// entries. A disk that was replaced since counts with its former content.
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

// rosterCache caches the results of rosterOf by the data of the entry.
var rosterCache sync.Map

// rosterOf decodes the members from a roster entry.
func rosterOf(e wire.Entry) []string {
	if cached, isCached := rosterCache.Load(string(e.Data)); isCached {
		return cached.([]string)
	}
	out := []string{}
	for _, m := range strings.Split(strings.Trim(string(e.Data), "[]"), ",") {
		out = append(out, strings.Trim(m, `"`))
	}
	rosterCache.Store(string(e.Data), out)
	return out
}
