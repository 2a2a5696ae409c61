package group

import (
	"time"

	"caperwheel/internal/timing"
	"caperwheel/internal/wire"
)

// Limits of what an owner sends to one member. A member's answer is never
// waited for longer than its link and disk take, so nothing is sent again for
// being late: only an answer tells that something was lost.
const (
	appendEntriesLimit   = 256
	appendBytesLimit     = 64 << 10 // of one append; a single entry may be larger
	probeBytesLimit      = 1 << 10  // of an append to a member whose log is not known
	InFlightBytesLimit   = 256 << 10
	inFlightAppendsLimit = 256       // appends with entries
	tailBytesLimit       = 128 << 10 // of the log that is kept behind an image
)

// peerState is what an owner knows of another member: its progress. It is
//
//   - probing, while it is not known where its log ends: an append that carries
//     next to nothing goes with each heartbeat until one is accepted;
//   - imaging, a kind of probing, while an image is on its way;
//   - replicating: entries follow one another without waiting, as far as the
//     flight allows.
//
// Links are ordered, so the answer to an append that was sent later tells what
// became of those before: a rejected one that some were lost, and of an image
// the answer to a later heartbeat.
type peerState struct {
	match, next    int64
	acked          int64 // newest heartbeat round answered
	ackedAt        time.Duration
	isProbing      bool
	snapshotIndex  int64 // of the image on its way; 0 for none
	snapshotRound  int64 // the newest heartbeat before it
	inFlight       []inFlight
	inFlightBytes  int
	supportedLevel int64 // the newest feature level that it can apply, as it told; 0 for not told
}

// inFlight is an append that carried entries and has not been answered.
type inFlight struct {
	last  int64
	bytes int
}

func (g *Group) peer(m string) *peerState {
	p := g.peers[m]
	if p == nil {
		p = &peerState{next: g.last() + 1, isProbing: true}
		g.peers[m] = p
	}
	return p
}

// probe begins anew at an index.
func (p *peerState) probe(next int64) {
	p.next, p.isProbing, p.snapshotIndex = next, true, 0
	p.inFlight, p.inFlightBytes = nil, 0
}

// accept takes in that the member's log is ours up to an index.
func (p *peerState) accept(index int64) {
	p.match = max(p.match, index)
	if p.snapshotIndex > 0 && p.match < p.snapshotIndex {
		return // the answer to an append before the image
	}
	if p.isProbing {
		p.probe(p.match + 1)
		p.isProbing = false
	}
	p.next = max(p.next, p.match+1)
	acknowledged := 0
	for acknowledged < len(p.inFlight) && p.inFlight[acknowledged].last <= p.match {
		p.inFlightBytes -= p.inFlight[acknowledged].bytes
		acknowledged++
	}
	p.inFlight = p.inFlight[acknowledged:]
}

// isFull reports whether the flight takes no more entries. One is always taken,
// however large.
func (p *peerState) isFull() bool {
	return p.inFlightBytes >= InFlightBytesLimit || len(p.inFlight) >= inFlightAppendsLimit
}

// reject takes in that the member could not append behind an index, where its
// hint is the newest that it may have in common with us. It is false for an
// answer to what was sent before the probe that is under way.
func (p *peerState) reject(behind, hint int64) bool {
	if behind == 0 { // a member of an older build does not tell it
		behind = p.next - 1
	}
	if p.isProbing && behind != p.next-1 || behind <= p.match {
		return false
	}
	p.probe(max(p.match+1, min(behind, hint+1)))
	return true
}

// replicate sends new entries to every member that is not being probed.
func (g *Group) replicate(now time.Duration, out *Output) {
	g.announcedCommit, g.replicatedAt = g.hard.Commit, now
	for _, m := range g.replicationTargets() {
		if p := g.peer(m); !p.isProbing {
			g.sendTo(m, false, now, out)
		}
	}
}

// sendPending sends what had no room before.
func (g *Group) sendPending(now time.Duration, out *Output) {
	for _, m := range g.replicationTargets() {
		if p := g.peer(m); !p.isProbing && p.next <= g.last() {
			g.sendTo(m, false, now, out)
		}
	}
}

// hasRoom reports whether the link to a member takes more than what is small.
func (g *Group) hasRoom(m string) bool { return g.opts.HasRoom == nil || g.opts.HasRoom(m) }

// sendTo sends what the member misses as far as there is room, or an empty
// append if always is set.
func (g *Group) sendTo(m string, allowEmpty bool, now time.Duration, out *Output) {
	p := g.peer(m)
	prev := p.next - 1
	term, isHeld := g.termAt(prev)
	if !isHeld { // compacted away: the member needs an image
		g.sendSnapshot(m, allowEmpty, out)
		return
	}
	for {
		entries, size := g.entriesFor(m, p)
		if len(entries) == 0 && !allowEmpty {
			return
		}
		out.SendNow = append(out.SendNow, g.msg(MsgAppend, m, wire.GroupMsg{Index: prev, LogTerm: term,
			Commit: g.hard.Commit, Round: g.round, Entries: append([]wire.Entry{}, entries...)}))
		if p.isProbing || len(entries) == 0 {
			return
		}
		p.next += int64(len(entries))
		p.inFlight, p.inFlightBytes = append(p.inFlight, inFlight{p.next - 1, size}), p.inFlightBytes+size
		allowEmpty, prev = false, p.next-1
		term, _ = g.termAt(prev)
	}
}

// entriesFor gives the entries that may go to a member now.
func (g *Group) entriesFor(m string, p *peerState) (entries []wire.Entry, size int) {
	entries = g.log[p.next-1-g.base:]
	maxBytes, minEntries := appendBytesLimit, 1
	if p.isProbing {
		maxBytes, minEntries = probeBytesLimit, 0
	} else if len(entries) > 0 && (p.isFull() || !g.hasRoom(m)) {
		return nil, 0
	}
	for i, e := range entries {
		if i >= appendEntriesLimit || i >= minEntries && size+len(e.Data) > maxBytes {
			return entries[:i], size
		}
		size += len(e.Data)
	}
	return entries, size
}

// sendSnapshot sends the image if none is on its way, and else, if always is set,
// a heartbeat that no member accepts.
func (g *Group) sendSnapshot(m string, allowEmpty bool, out *Output) {
	p := g.peer(m)
	if p.snapshotIndex == 0 && g.hasRoom(m) {
		p.probe(p.next)
		p.snapshotIndex, p.snapshotRound = g.snapshotIndex, g.round
		out.SendNow = append(out.SendNow, g.msg(MsgSnapshot, m, wire.GroupMsg{Index: g.snapshotIndex, LogTerm: g.snapshotTerm,
			Round: g.round, Roster: g.rosterAt(g.snapshotIndex)}))
	} else if allowEmpty {
		out.SendNow = append(out.SendNow, g.msg(MsgAppend, m, wire.GroupMsg{Round: g.round, Index: g.last() + 1, LogTerm: -1}))
	}
}

func (g *Group) onAppendReply(m wire.GroupMsg, now time.Duration, out *Output) {
	if g.role != Owner {
		return
	}
	p := g.peer(m.From)
	p.acked, p.ackedAt, p.supportedLevel = max(p.acked, m.Round), now, m.Level
	g.confirm(now)
	if m.Reject {
		g.onReject(m, p, now, out)
		return
	}
	p.accept(m.Index)
	g.advanceCommit(now, out)
	if m.From == g.successor {
		g.promptSuccessor(out)
	}
	if g.role == Owner && p.next <= g.last() {
		g.sendTo(m.From, false, now, out)
	}
}

// onReject probes where the member's log ends, or sends the image again: it was
// lost if the member has answered a later heartbeat without having it.
func (g *Group) onReject(m wire.GroupMsg, p *peerState, now time.Duration, out *Output) {
	if p.snapshotIndex > 0 {
		if m.Round > p.snapshotRound {
			p.snapshotIndex = 0
			g.sendTo(m.From, false, now, out)
		}
		return
	}
	if p.reject(m.Commit, m.Index) {
		g.sendTo(m.From, true, now, out)
	}
}

// announceCommit lets members that have all entries know what is committed, when a
// tick has passed since entries went out: while more come, the next ones tell.
func (g *Group) announceCommit(now time.Duration, out *Output) {
	if g.announcedCommit == g.hard.Commit || now-g.replicatedAt < g.opts.Bounds.Of(timing.Tick) {
		return
	}
	g.announcedCommit = g.hard.Commit
	for _, m := range g.replicationTargets() {
		if p := g.peer(m); !p.isProbing && p.next > g.last() {
			g.sendTo(m, true, now, out)
		}
	}
}
