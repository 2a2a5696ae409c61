package group

import (
	"slices"
	"time"

	"caperwheel/internal/timing"
	"caperwheel/internal/wire"
)

// append adds an entry of this term to the owner's own log.
func (g *Group) append(e wire.Entry, out *Output) {
	e.Index, e.Term = g.last()+1, g.hard.Term
	g.log = append(g.log, e)
	g.noteRoster(e)
	p := g.durableUpdate(out)
	p.Entries = append(p.Entries, e)
}

// heartbeat sends a new heartbeat round. Replies from a majority confirm that this replica is still the owner.
func (g *Group) heartbeat(now time.Duration, out *Output) {
	period := g.opts.Bounds.Of(timing.Heartbeat) // aligned, so that all groups of a store send heartbeats together
	g.heartbeatAt = now - now%period + period
	g.round++
	g.heartbeatCommit = g.hard.Commit
	g.rounds = append(g.rounds, roundAt{g.round, now})
	if len(g.rounds) > 64 {
		g.rounds = g.rounds[1:]
	}
	g.confirm(now)
	for _, m := range g.replicationTargets() {
		g.sendTo(m, true, now, out)
	}
}

// onOwnerMessage follows the sender of an append or snapshot as the owner and postpones the next election.
func (g *Group) onOwnerMessage(m wire.GroupMsg, now time.Duration, out *Output) {
	if g.role != Follower || g.owner != m.From {
		g.become(Follower, m.Term, m.From, now, out)
	}
	g.heardAt, g.campaignPause = now, 0
	g.resetElectionTimer(now)
}

// onAppend handles entries or a heartbeat from the owner. A rejection carries the index before which the entries
// did not fit (in Commit) and the newest index that the two logs may have in common (in Index).
func (g *Group) onAppend(m wire.GroupMsg, now time.Duration, out *Output) {
	g.onOwnerMessage(m, now, out)
	reply := wire.GroupMsg{Round: m.Round, Index: g.last(), Commit: m.Index, Level: g.opts.SupportedLevel}
	term, isHeld := g.termAt(m.Index)
	if m.Index < g.base { // entries up to base are in the snapshot: skip them
		skip := min(int64(len(m.Entries)), g.base-m.Index)
		m.Entries, m.Index = m.Entries[skip:], m.Index+skip
		term, isHeld = g.baseTerm, m.Index == g.base
		m.LogTerm = term
	}
	if !isHeld || term != m.LogTerm {
		reply.Reject = true
		if isHeld {
			reply.Index = max(g.base, min(g.hard.Commit, m.Index-1))
		}
		out.SendAfterSync = append(out.SendAfterSync, g.msg(MsgAppendReply, m.From, reply))
		return
	}
	g.merge(m.Entries, out)
	tail := m.Index + int64(len(m.Entries))
	if commit := min(m.Commit, tail); commit > g.hard.Commit {
		g.hard.Commit = commit
	}
	reply.Index, reply.Commit = tail, 0
	out.SendAfterSync = append(out.SendAfterSync, g.msg(MsgAppendReply, m.From, reply))
}

// merge adds the owner's entries to the log. From the first entry that differs on, it replaces the log's own entries.
func (g *Group) merge(entries []wire.Entry, out *Output) {
	for i, e := range entries {
		if term, isHeld := g.termAt(e.Index); isHeld && term == e.Term {
			continue
		}
		if e.Index <= g.hard.Commit {
			return // impossible: a committed entry never changes
		}
		g.log = g.log[:e.Index-g.base-1]
		g.synced = min(g.synced, e.Index-1)
		for len(g.rosters) > 1 && g.rosters[len(g.rosters)-1].index >= e.Index {
			g.rosters = g.rosters[:len(g.rosters)-1]
		}
		for _, e := range entries[i:] {
			g.log = append(g.log, e)
			g.noteRoster(e)
		}
		p := g.durableUpdate(out)
		p.Entries = append(p.Entries, entries[i:]...)
		return
	}
}

// onSnapshot handles a snapshot from the owner. It replaces the log unless the log holds all of it already.
func (g *Group) onSnapshot(m wire.GroupMsg, now time.Duration, out *Output) {
	g.onOwnerMessage(m, now, out)
	if term, isHeld := g.termAt(m.Index); isHeld && term == m.LogTerm {
		// Our log holds everything in the snapshot, and perhaps later entries that we have acknowledged:
		// dropping those would revoke the acknowledgement.
		g.hard.Commit = max(g.hard.Commit, m.Index)
	} else if m.Index > g.hard.Commit {
		snapshot := &Snapshot{Index: m.Index, Term: m.LogTerm, Roster: m.Roster, State: m.State}
		g.log, g.base, g.baseTerm = nil, m.Index, m.LogTerm
		g.snapshotIndex, g.snapshotTerm = m.Index, m.LogTerm
		g.rosters = []rosterAt{{m.Index, m.Roster}}
		g.hard.Commit, g.applied, g.synced = m.Index, m.Index, m.Index
		p := g.durableUpdate(out)
		p.Snapshot = snapshot
		hard := g.hard
		p.Hard = &hard
		out.Install = snapshot
	}
	out.SendAfterSync = append(out.SendAfterSync, g.msg(MsgAppendReply, m.From, wire.GroupMsg{Round: m.Round, Index: g.hard.Commit, Level: g.opts.SupportedLevel}))
}

// advanceCommit advances the commit index to the newest entry that a majority has synced, if it is of this term.
func (g *Group) advanceCommit(now time.Duration, out *Output) {
	if g.role != Owner {
		return
	}
	matches := []int64{}
	for _, m := range Voters(g.roster()) {
		matches = append(matches, g.matchOf(m))
	}
	slices.Sort(matches)
	if len(matches) == 0 {
		return
	}
	index := matches[(len(matches)-1)/2]
	if t, _ := g.termAt(index); index > g.hard.Commit && t == g.hard.Term {
		g.hard.Commit = index
		g.onCommit(now, out)
	}
}

// matchOf returns the index up to which a member's log is known to be synced and to match this owner's log.
func (g *Group) matchOf(m string) int64 {
	if m == g.opts.Self {
		return g.synced
	}
	if p := g.peers[m]; p != nil {
		return p.match
	}
	return 0
}
