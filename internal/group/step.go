package group

import (
	"time"

	"caperwheel/internal/timing"
	"caperwheel/internal/wire"
)

// Tick lets time pass.
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

// Receive takes one message from another replica.
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

// checkTerm compares the message's term with ours. It is false when the message
// has been dealt with.
func (g *Group) checkTerm(m wire.GroupMsg, now time.Duration, out *Output) bool {
	switch m.Kind {
	case MsgPreVote:
		return true
	case MsgPreVoteReply: // carries a term that nobody has entered yet
		if m.Reject && m.Term > g.hard.Term+1 {
			g.become(Follower, m.Term-1, "", now, out)
		}
		return true
	}
	if m.Term < g.hard.Term {
		if m.Kind == MsgAppend || m.Kind == MsgSnapshot { // tell an old owner
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

// Synced tells that all of this replica's log up to index (of that term) is on
// disk.
func (g *Group) Synced(index, term int64, now time.Duration) Output {
	out := Output{}
	if t, isHeld := g.termAt(index); isHeld && t == term {
		g.synced = max(g.synced, index)
	}
	g.advanceCommit(now, &out)
	g.emitCommitted(&out)
	return out
}

// emitCommitted hands out what has been committed and not yet applied.
func (g *Group) emitCommitted(out *Output) {
	if g.applied < g.base {
		g.applied = g.base
	}
	for g.applied < g.hard.Commit {
		g.applied++
		out.Apply = append(out.Apply, g.log[g.applied-g.base-1])
	}
}

// Propose appends a command. The index and term name it; it is committed when
// an entry with both is applied. False when this replica is not the owner.
func (g *Group) Propose(data []byte, now time.Duration) (index, term int64, out Output, isOwner bool) {
	return g.ProposeAll([][]byte{data}, now)
}

// ProposeAll appends commands, which must not be none, in one step. It returns the
// index of the first one.
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

// Compact makes state the image at an applied index and forgets the log up to
// there, but for a tail: members that miss little need no image.
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

// Whole returns all that must be durable besides the image, for a slot on disk.
func (g *Group) DurableState() (HardState, []wire.Entry) {
	return g.hard, append([]wire.Entry{}, g.log[g.snapshotIndex-g.base:]...)
}
