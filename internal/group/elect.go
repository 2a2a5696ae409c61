package group

import (
	"time"

	"caperwheel/internal/timing"
	"caperwheel/internal/wire"
)

// become is the only function that changes the role, the owner or the term of a replica.
func (g *Group) become(role Role, term int64, owner string, now time.Duration, out *Output) {
	if term > g.hard.Term {
		g.hard.Term, g.hard.Vote = term, ""
		g.saveHard(out)
	}
	if role != g.role || owner != g.owner {
		out.IsOwnershipChanged = true
	}
	g.role, g.owner = role, owner
	g.votes, g.peers, g.rounds, g.successor = nil, nil, nil, ""
	g.isConfirmed = false
	switch role {
	case Follower:
		g.resetElectionTimer(now)
	case PreCandidate, Candidate:
		g.votes = map[string]bool{g.opts.Self: true}
		g.resetCampaignTimer(now)
	case Owner:
		g.campaignPause = 0
		g.peers, g.preferredMember, g.heartbeatAt = map[string]*peerState{}, "", now
		g.confirmedAt, g.ownedAt = now, now
		g.append(wire.Entry{Kind: EntryNoOp}, out)
		g.noOpIndex = g.last()
		for _, m := range g.replicationTargets() { // the first probe carries the no-op entry
			g.peers[m] = &peerState{next: g.noOpIndex, isProbing: true}
		}
		g.heartbeat(now, out)
	}
}

// resetElectionTimer schedules the next election after the election timeout plus a random spread.
func (g *Group) resetElectionTimer(now time.Duration) {
	spread := time.Duration(g.rand.Int64N(int64(g.opts.Bounds.Of(timing.ElectionSpread))))
	g.electionAt = now + g.opts.Bounds.Of(timing.ElectionTimeout) + spread
}

// resetCampaignTimer schedules the retry in case this election fails. The backoff starts at one heartbeat, since
// members that start together after a power loss may miss each other's first election by moments, and doubles with
// each failed election up to the election timeout.
func (g *Group) resetCampaignTimer(now time.Duration) {
	bounds := g.opts.Bounds
	g.campaignPause = min(max(2*g.campaignPause, bounds.Of(timing.Heartbeat)), bounds.Of(timing.ElectionTimeout))
	g.electionAt = now + g.campaignPause + time.Duration(g.rand.Int64N(int64(g.campaignPause)))
}

// saveHard adds the current hard state to the step's durable update.
func (g *Group) saveHard(out *Output) {
	hard := g.hard
	g.durableUpdate(out).Hard = &hard
}

// durableUpdate returns the durable update of a step, and creates it on first use.
func (g *Group) durableUpdate(out *Output) *DurableUpdate {
	if out.Persist == nil {
		out.Persist = &DurableUpdate{}
	}
	return out.Persist
}

// startPreVote starts a pre-vote. It does not change the term, so a returning replica that cannot win an election
// does not disrupt the group.
func (g *Group) startPreVote(now time.Duration, out *Output) {
	if !g.isVoter() {
		g.resetElectionTimer(now)
		return
	}
	g.become(PreCandidate, g.hard.Term, "", now, out)
	g.requestVotes(MsgPreVote, g.hard.Term+1, &out.SendNow)
	g.countVotes(now, out)
}

// campaign starts an election in a new term. Vote requests are sent only once the replica's own vote is synced.
func (g *Group) campaign(now time.Duration, out *Output) {
	g.become(Candidate, g.hard.Term+1, "", now, out)
	g.hard.Vote = g.opts.Self
	g.saveHard(out)
	g.requestVotes(MsgVote, g.hard.Term, &out.SendAfterSync)
	g.countVotes(now, out)
}

// requestVotes appends vote requests of a kind to all other voters.
func (g *Group) requestVotes(kind int32, term int64, into *[]wire.GroupMsg) {
	for _, m := range Voters(g.roster()) {
		if m != g.opts.Self {
			*into = append(*into, g.msg(kind, m, wire.GroupMsg{Term: term, Index: g.last(), LogTerm: g.lastTerm()}))
		}
	}
}

// msg completes a message with group, kind, sender and receiver, and with the current term if it has none.
func (g *Group) msg(kind int32, to string, m wire.GroupMsg) wire.GroupMsg {
	m.Group, m.Kind, m.From, m.To = g.opts.Id, kind, g.opts.Self, to
	if m.Term == 0 {
		m.Term = g.hard.Term
	}
	return m
}

// countVotes goes on to the election, or to ownership, if the votes so far are a majority.
func (g *Group) countVotes(now time.Duration, out *Output) {
	if !g.hasMajority(func(m string) bool { return g.votes[m] }) {
		return
	}
	if g.role == PreCandidate {
		g.campaign(now, out)
	} else if g.role == Candidate {
		g.become(Owner, g.hard.Term, g.opts.Self, now, out)
	}
}

// isUpToDate reports whether a candidate's log is at least as recent as this replica's log, and so holds every entry
// that this replica may have helped to commit.
func (g *Group) isUpToDate(m wire.GroupMsg) bool {
	return m.LogTerm > g.lastTerm() || m.LogTerm == g.lastTerm() && m.Index >= g.last()
}

// hasOwner reports whether this replica is the owner or has heard from one within the election timeout.
func (g *Group) hasOwner(now time.Duration) bool {
	return g.role == Owner || g.owner != "" && now-g.heardAt < g.opts.Bounds.Of(timing.ElectionTimeout)
}

// onPreVote answers a pre-vote. It is denied while an owner is heard from, and changes neither term nor vote.
func (g *Group) onPreVote(m wire.GroupMsg, now time.Duration, out *Output) {
	isGranted := m.Term > g.hard.Term && g.isUpToDate(m) && !g.hasOwner(now) && g.holdsState()
	term := m.Term
	if term <= g.hard.Term { // the candidate's term is old: the reply lets it catch up with ours
		term = g.hard.Term + 1
	}
	out.SendNow = append(out.SendNow, g.msg(MsgPreVoteReply, m.From, wire.GroupMsg{Term: term, Reject: !isGranted}))
}

// onVote answers a vote request. The vote is synced before the reply is sent.
func (g *Group) onVote(m wire.GroupMsg, now time.Duration, out *Output) {
	isGranted := m.Term == g.hard.Term && (g.hard.Vote == "" || g.hard.Vote == m.From) &&
		g.isUpToDate(m) && g.role == Follower && g.holdsState()
	if isGranted {
		g.hard.Vote = m.From
		g.saveHard(out)
		g.resetElectionTimer(now)
	}
	out.SendAfterSync = append(out.SendAfterSync, g.msg(MsgVoteReply, m.From, wire.GroupMsg{Reject: !isGranted}))
}

// holdsState reports whether the replica has a roster. A replica without one may have lost its disk, and with it votes
// and acknowledgements that it gave before, so it never votes.
func (g *Group) holdsState() bool { return len(g.roster()) > 0 }

// onVoteReply counts a vote or pre-vote, unless it belongs to an earlier election.
func (g *Group) onVoteReply(m wire.GroupMsg, now time.Duration, out *Output) {
	isOurs := g.role == PreCandidate && m.Kind == MsgPreVoteReply && m.Term == g.hard.Term+1 ||
		g.role == Candidate && m.Kind == MsgVoteReply && m.Term == g.hard.Term
	if isOurs && !m.Reject {
		g.votes[m.From] = true
		g.countVotes(now, out)
	}
}
