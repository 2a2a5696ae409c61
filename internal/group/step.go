package group

import (
	"time"

	"caperwheel/internal/timing"
	"caperwheel/internal/wire"
)

// Tick performs the work that is due by time: elections, heartbeats and resignations. It is called at intervals.
func (g *Group) Tick(now time.Duration) Output {
	out := Output{}
	if g.role == Owner {
		g.tickOwner(now, &out)
	} else if now >= g.electionAt {
		g.startPreVote(now, &out)
	}
	g.emitCommitted(&out)
	return out
}

// tickOwner does the timed work of an owner. An owner that a majority has not answered for twice the answer timeout
// steps down, as does one whose successor did not take over in time.
func (g *Group) tickOwner(now time.Duration, out *Output) {
	if now-g.confirmedAt > g.opts.Bounds.Of(timing.AnswerTimeout)*2 {
		g.become(Follower, g.hard.Term, "", now, out) // cut off from the majority
		return
	}
	if g.successor != "" && now > g.transferDeadline {
		g.become(Follower, g.hard.Term, "", now, out) // the successor did not take over
		return
	}
	g.promptSuccessor(out)
	g.announceCommit(now, out)
	g.sendPending(now, out)
	if now >= g.heartbeatAt {
		g.heartbeat(now, out)
		g.transferToPreferred(now, out)
	}
}

// Receive handles one message from another replica.
func (g *Group) Receive(m wire.GroupMsg, now time.Duration) Output {
	out := Output{}
	if m.To != g.opts.Self {
		out.SendNow = append(out.SendNow, g.msg(MsgWrongIncarnation, m.From, wire.GroupMsg{}))
		return out
	}
	if m.Kind == MsgWrongIncarnation {
		g.newIncarnations[Name(m.From)] = m.From
		return out
	}
	if !g.checkTerm(m, now, &out) {
		return out
	}
	switch m.Kind {
	case MsgPreVote:
		g.onPreVote(m, now, &out)
	case MsgVote:
		g.onVote(m, now, &out)
	case MsgPreVoteReply, MsgVoteReply:
		g.onVoteReply(m, now, &out)
	case MsgAppend:
		g.onAppend(m, now, &out)
	case MsgSnapshot:
		g.onSnapshot(m, now, &out)
	case MsgAppendReply:
		g.onAppendReply(m, now, &out)
	case MsgCampaign:
		if g.role == Follower && m.From == g.owner && g.isVoter() {
			g.campaign(now, &out)
		}
	}
	g.emitCommitted(&out)
	return out
}

// checkTerm compares the term of a message with this replica's term, and follows a newer one. It returns false for a
// message of an older term, which needs no further handling.
func (g *Group) checkTerm(m wire.GroupMsg, now time.Duration, out *Output) bool {
	switch m.Kind {
	case MsgPreVote:
		return true
	case MsgPreVoteReply: // its term is that of an election that has not started
		if m.Reject && m.Term > g.hard.Term+1 {
			g.become(Follower, m.Term-1, "", now, out)
		}
		return true
	}
	if m.Term < g.hard.Term {
		if m.Kind == MsgAppend || m.Kind == MsgSnapshot { // the reply tells a deposed owner the newer term
			out.SendNow = append(out.SendNow, g.msg(MsgAppendReply, m.From, wire.GroupMsg{Reject: true, Index: g.last()}))
		}
		return false
	}
	if m.Term == g.hard.Term {
		return true
	}
	g.become(Follower, m.Term, "", now, out)
	return true
}

// Synced records that this replica's log is on disk up to an index. The call has no effect if the entry at that index
// is no longer of the given term, as it has been replaced since.
func (g *Group) Synced(index, term int64, now time.Duration) Output {
	out := Output{}
	if t, isHeld := g.termAt(index); isHeld && t == term {
		g.synced = max(g.synced, index)
	}
	g.advanceCommit(now, &out)
	g.emitCommitted(&out)
	return out
}

// emitCommitted adds the entries that are committed and not yet applied to the output.
func (g *Group) emitCommitted(out *Output) {
	if g.applied < g.base {
		g.applied = g.base
	}
	for g.applied < g.hard.Commit {
		g.applied++
		out.Apply = append(out.Apply, g.log[g.applied-g.base-1])
	}
}

// Propose appends a command to the owner's log. It is committed once an entry with the returned index and term is
// applied. isOwner is false, and nothing is proposed, on other replicas and during an ownership transfer.
func (g *Group) Propose(data []byte, now time.Duration) (index, term int64, out Output, isOwner bool) {
	return g.ProposeAll([][]byte{data}, now)
}

// ProposeAll appends one or more commands in one step, and returns the index of the first one. See Propose.
func (g *Group) ProposeAll(commands [][]byte, now time.Duration) (first, term int64, out Output, isOwner bool) {
	if g.role != Owner || g.successor != "" {
		return 0, 0, out, false
	}
	first = g.last() + 1
	for _, data := range commands {
		g.append(wire.Entry{Kind: EntryData, Data: data}, &out)
	}
	g.replicate(now, &out)
	return first, g.hard.Term, out, true
}

// Compact makes state the snapshot as of an applied index, and drops the log entries up to there except for a tail,
// so that members that lack only a few entries need no snapshot. It returns nil if the index is not newer than that
// of the last snapshot or is not applied yet.
func (g *Group) Compact(index int64, state []byte) *Snapshot {
	if index <= g.snapshotIndex || index > g.applied {
		return nil
	}
	term, _ := g.termAt(index)
	g.snapshotIndex, g.snapshotTerm = index, term
	base, size := index, 0
	for base > g.base && size+len(g.log[base-g.base-1].Data) <= tailBytesLimit && index-base < appendEntriesLimit {
		size += len(g.log[base-g.base-1].Data)
		base--
	}
	term, _ = g.termAt(base)
	kept := []rosterAt{{base, g.rosterAt(base)}}
	for _, r := range g.rosters {
		if r.index > base {
			kept = append(kept, r)
		}
	}
	g.log = append([]wire.Entry{}, g.log[base-g.base:]...)
	g.base, g.baseTerm, g.rosters = base, term, kept
	return &Snapshot{Index: g.snapshotIndex, Term: g.snapshotTerm, Roster: g.rosterAt(g.snapshotIndex), State: state}
}

// DurableState returns everything that must be durable besides the snapshot: the hard state and the entries after it.
// The caller writes them to disk together with the snapshot.
func (g *Group) DurableState() (HardState, []wire.Entry) {
	return g.hard, append([]wire.Entry{}, g.log[g.snapshotIndex-g.base:]...)
}
