package group

import (
	"time"

	"caperwheel/internal/timing"
	"caperwheel/internal/wire"
)

// Limits of what an owner sends to one member. There is no retransmission timeout: the time to an answer depends only
// on the member's link and disk, so a late answer proves nothing, and only an answer shows that a message was lost.
const (
	appendEntriesLimit   = 256       // of one append
	appendBytesLimit     = 64 << 10  // of one append; a single entry may be larger
	probeBytesLimit      = 1 << 10   // of an append to a member that is being probed
	InFlightBytesLimit   = 256 << 10 // of all appends in flight; the last one may exceed it
	inFlightAppendsLimit = 256       // appends that carry entries
	tailBytesLimit       = 128 << 10 // of the log entries that are kept although a snapshot covers them
)

// peerState is the replication progress of another member, as the owner tracks it. The member is in one of these
// states:
//
//   - probing, while it is unknown where its log stops matching: each heartbeat carries an append
//     with few or no entries until one is accepted;
//   - receiving a snapshot, a kind of probing, while a snapshot is in transit;
//   - replicating: appends with entries are pipelined without waiting for answers, up to the limits above.
//
// Links preserve order, so the answer to a later message shows the fate of earlier ones: a rejected append means that
// an earlier append was lost; the answer to a heartbeat sent after a snapshot shows whether the snapshot arrived.
type peerState struct {
	match, next    int64         // newest index known to match our log; next index to send
	acked          int64         // newest heartbeat round that the member has answered
	ackedAt        time.Duration // when the member's last answer arrived
	isProbing      bool
	snapshotIndex  int64 // index of the snapshot in transit; 0 for none
	snapshotRound  int64 // newest heartbeat round sent before that snapshot
	inFlight       []inFlight
	inFlightBytes  int
	supportedLevel int64 // newest feature level that the member reported it can apply; 0 if it reported none
}

// inFlight is an append with entries that has not been answered yet.
type inFlight struct {
	last  int64 // index of its last entry
	bytes int   // sum of the sizes of its entries
}

// peer returns the progress of a member; a member without one starts in the probing state.
func (g *Group) peer(m string) *peerState {
	p := g.peers[m]
	if p == nil {
		p = &peerState{next: g.last() + 1, isProbing: true}
		g.peers[m] = p
	}
	return p
}

// probe switches to probing, from an index on, and forgets all appends in flight.
func (p *peerState) probe(next int64) {
	p.next, p.isProbing, p.snapshotIndex = next, true, 0
	p.inFlight, p.inFlightBytes = nil, 0
}

// accept records that the member's log matches ours up to an index.
func (p *peerState) accept(index int64) {
	p.match = max(p.match, index)
	if p.snapshotIndex > 0 && p.match < p.snapshotIndex {
		return // an answer to an append that was sent before the snapshot
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

// isFull reports whether the limits allow no more appends in flight. Bytes are checked before an append is added,
// so a single entry of any size can be sent.
func (p *peerState) isFull() bool {
	return p.inFlightBytes >= InFlightBytesLimit || len(p.inFlight) >= inFlightAppendsLimit
}

// reject records that the member could not append after the index behind; hint is the newest index that its log may
// have in common with ours. It returns false for an answer to an append that was sent before the current probe.
func (p *peerState) reject(behind, hint int64) bool {
	if behind == 0 { // older builds do not report it
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

// sendPending sends the entries that exceeded the limits or the link's capacity before.
func (g *Group) sendPending(now time.Duration, out *Output) {
	for _, m := range g.replicationTargets() {
		if p := g.peer(m); !p.isProbing && p.next <= g.last() {
			g.sendTo(m, false, now, out)
		}
	}
}

// hasRoom reports whether the link to a member accepts more than small messages.
func (g *Group) hasRoom(m string) bool { return g.opts.HasRoom == nil || g.opts.HasRoom(m) }

// sendTo sends the entries that a member lacks, as far as the limits allow. If there are none to send, it sends an
// append without entries where allowEmpty is set.
func (g *Group) sendTo(m string, allowEmpty bool, now time.Duration, out *Output) {
	p := g.peer(m)
	prev := p.next - 1
	term, isHeld := g.termAt(prev)
	if !isHeld { // compacted: the member needs a snapshot
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

// entriesFor returns the entries that may be sent to a member in one append now, and the sum of their sizes in bytes.
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

// sendSnapshot sends the newest snapshot if none is in transit. Otherwise, if allowEmpty is set, it sends a heartbeat
// that the member answers but rejects, as no log has an entry of its previous index and term.
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

// onAppendReply handles a member's answer to an append, a heartbeat or a snapshot.
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

// onReject continues to probe where the member's log stops matching, or sends the snapshot again if it was lost:
// that is so once the member has answered a later heartbeat and still lacks it.
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

// announceCommit sends the commit index to members that have all entries, once a tick has passed since entries were
// last sent. While entries follow one another, the next append carries the commit index anyway.
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
