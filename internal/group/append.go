package group

import (
	"slices"
	"time"

	"caperwheel/internal/beat"
	"caperwheel/internal/wire"
)

// Limits of one append message.
const (
	appendCount = 256
	appendBytes = 1 << 20
)

// append puts one entry of the owner's own into its log.
func (g *Group) append(e wire.Entry, out *Out) {
	e.Index, e.Term = g.last()+1, g.hard.Term
	g.log = append(g.log, e)
	g.noteRoster(e)
	p := g.persist(out)
	p.Entries = append(p.Entries, e)
}

// pulse opens a new round: replies to it confirm that the owner still is one.
func (g *Group) pulse(now time.Duration, out *Out) {
	period := g.opts.Bounds.Of(beat.Pulse) // all groups of a store pulse together
	g.pulseAt = now - now%period + period
	g.round++
	g.pulseCommit = g.hard.Commit
	g.rounds = append(g.rounds, roundAt{g.round, now})
	if len(g.rounds) > 64 {
		g.rounds = g.rounds[1:]
	}
	g.confirm(now)
	for _, m := range g.others() {
		p := g.peer(m)
		if p.match < g.last() && p.match == p.matchAtPulse {
			p.next = p.match + 1 // nothing came through since the last pulse
		}
		p.matchAtPulse = p.match
		g.sendTo(m, true, now, out)
	}
}

func (g *Group) peer(m string) *peerState {
	p := g.peers[m]
	if p == nil {
		p = &peerState{next: g.last() + 1, isProbing: true}
		g.peers[m] = p
	}
	return p
}

// spread sends new entries to every member that is not being probed.
func (g *Group) spread(now time.Duration, out *Out) {
	g.toldCommit = g.hard.Commit
	for _, m := range g.others() {
		if p := g.peer(m); !p.isProbing {
			g.sendTo(m, false, now, out)
		}
	}
}

// sendTo sends what the member misses, or an empty append if always is set.
func (g *Group) sendTo(m string, always bool, now time.Duration, out *Out) {
	p := g.peer(m)
	prev := p.next - 1
	term, isHeld := g.termAt(prev)
	if !isHeld { // compacted away: the member needs an image
		if p.sentAt == 0 || now-p.sentAt > g.opts.Bounds.Of(beat.Vote) {
			p.sentAt = now
			out.Now = append(out.Now, g.msg(MsgImage, m, wire.GroupMsg{Index: g.base, LogTerm: g.baseT,
				Round: g.round, Roster: g.rosterAt(g.base)}))
		} else if always {
			out.Now = append(out.Now, g.msg(MsgAppend, m, wire.GroupMsg{Round: g.round, Index: g.last() + 1, LogTerm: -1}))
		}
		return
	}
	entries, size := g.log[prev-g.base:], 0
	for i, e := range entries {
		if size += len(e.Data); i >= appendCount || i > 0 && size > appendBytes {
			entries = entries[:i]
			break
		}
	}
	if len(entries) == 0 && !always {
		return
	}
	out.Now = append(out.Now, g.msg(MsgAppend, m, wire.GroupMsg{Index: prev, LogTerm: term,
		Commit: g.hard.Commit, Round: g.round, Entries: append([]wire.Entry{}, entries...)}))
	if !p.isProbing {
		p.next += int64(len(entries))
	}
}

func (g *Group) hear(m wire.GroupMsg, now time.Duration, out *Out) {
	if g.role != Follower || g.owner != m.From {
		g.become(Follower, m.Term, m.From, now, out)
	}
	g.heardAt = now
	g.resetBeat(now)
}

func (g *Group) onAppend(m wire.GroupMsg, now time.Duration, out *Out) {
	g.hear(m, now, out)
	reply := wire.GroupMsg{Round: m.Round, Index: g.last()}
	term, isHeld := g.termAt(m.Index)
	if m.Index < g.base { // the image covers it: skip what is below
		skip := min(int64(len(m.Entries)), g.base-m.Index)
		m.Entries, m.Index = m.Entries[skip:], m.Index+skip
		term, isHeld = g.baseT, m.Index == g.base
		m.LogTerm = term
	}
	if !isHeld || term != m.LogTerm {
		reply.Reject = true
		if isHeld {
			reply.Index = max(g.base, min(g.hard.Commit, m.Index-1))
		}
		out.After = append(out.After, g.msg(MsgAppendReply, m.From, reply))
		return
	}
	g.merge(m.Entries, out)
	tail := m.Index + int64(len(m.Entries))
	if commit := min(m.Commit, tail); commit > g.hard.Commit {
		g.hard.Commit = commit
	}
	reply.Index = tail
	out.After = append(out.After, g.msg(MsgAppendReply, m.From, reply))
}

// merge takes the owner's entries; where one differs, ours go from there on.
func (g *Group) merge(entries []wire.Entry, out *Out) {
	for i, e := range entries {
		if term, isHeld := g.termAt(e.Index); isHeld && term == e.Term {
			continue
		}
		if e.Index <= g.hard.Commit {
			return // cannot be: a committed entry never changes
		}
		g.log = g.log[:e.Index-g.base-1]
		g.synced = min(g.synced, e.Index-1)
		for len(g.rosts) > 1 && g.rosts[len(g.rosts)-1].index >= e.Index {
			g.rosts = g.rosts[:len(g.rosts)-1]
		}
		for _, e := range entries[i:] {
			g.log = append(g.log, e)
			g.noteRoster(e)
		}
		p := g.persist(out)
		p.Entries = append(p.Entries, entries[i:]...)
		return
	}
}

func (g *Group) onImage(m wire.GroupMsg, now time.Duration, out *Out) {
	g.hear(m, now, out)
	if term, isHeld := g.termAt(m.Index); isHeld && term == m.LogTerm {
		// Our log holds all that the image does, and perhaps more that we have
		// acknowledged: dropping it would take an acknowledgement back.
		g.hard.Commit = max(g.hard.Commit, m.Index)
	} else if m.Index > g.hard.Commit {
		image := &Image{Index: m.Index, Term: m.LogTerm, Roster: m.Roster, State: m.State}
		g.log, g.base, g.baseT = nil, m.Index, m.LogTerm
		g.rosts = []rosterAt{{m.Index, m.Roster}}
		g.hard.Commit, g.applied, g.synced = m.Index, m.Index, m.Index
		p := g.persist(out)
		p.Image = image
		hard := g.hard
		p.Hard = &hard
		out.Install = image
	}
	out.After = append(out.After, g.msg(MsgAppendReply, m.From, wire.GroupMsg{Round: m.Round, Index: g.hard.Commit}))
}

func (g *Group) onAppendReply(m wire.GroupMsg, now time.Duration, out *Out) {
	if g.role != Owner {
		return
	}
	p := g.peer(m.From)
	p.acked, p.ackedAt = max(p.acked, m.Round), now
	g.confirm(now)
	if m.Reject {
		p.next = max(p.match+1, min(p.next-1, m.Index+1))
		p.isProbing = true
		g.sendTo(m.From, false, now, out)
		return
	}
	if m.Index > p.match {
		p.match = m.Index
	}
	if p.isProbing || p.next <= p.match {
		p.next = max(p.next, p.match+1)
		if p.isProbing {
			p.next = p.match + 1
		}
		p.isProbing = false
	}
	g.commitUp(now, out)
	if m.From == g.heir {
		g.callHeir(out)
	}
	if p.next <= g.last() {
		g.sendTo(m.From, false, now, out)
	}
}

// commitUp moves the commit to what a majority has synced in this term.
func (g *Group) commitUp(now time.Duration, out *Out) {
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

func (g *Group) matchOf(m string) int64 {
	if m == g.opts.Self {
		return g.synced
	}
	if p := g.peers[m]; p != nil {
		return p.match
	}
	return 0
}

// tellCommit lets members that have all entries know what is committed, when a
// tick has passed in which no entry has told them.
func (g *Group) tellCommit(now time.Duration, out *Out) {
	if g.toldCommit == g.hard.Commit {
		return
	}
	g.toldCommit = g.hard.Commit
	for _, m := range g.others() {
		if p := g.peer(m); !p.isProbing && p.next > g.last() {
			g.sendTo(m, true, now, out)
		}
	}
}
