package group

import (
	"time"

	"caperwheel/internal/timing"
	"caperwheel/internal/wire"
)

// TransferOwnership starts to transfer ownership to a member. From now on this replica accepts no proposals, and as
// soon as the member has all entries it is asked to start an election. If it does not take over within the transfer
// timeout, this replica steps down, since proposals that were refused meanwhile must not be regarded as still in
// progress. It is used before a planned stop and to return ownership to the preferred owner.
func (g *Group) TransferOwnership(to string, now time.Duration) Output {
	out := Output{}
	if g.role == Owner && g.successor == "" && g.peers[to] != nil {
		g.successor, g.transferDeadline = to, now+g.opts.Bounds.Of(timing.TransferTimeout)
		g.promptSuccessor(&out)
	}
	return out
}

// ReportStoreDown records that the process of a store is known to have ended. A follower whose owner ran there does not
// wait for the election timeout. It starts an election after a random part of a heartbeat, so that followers rarely do
// so at the same time.
func (g *Group) ReportStoreDown(name string, now time.Duration) {
	if g.role == Follower && g.owner != "" && Name(g.owner) == name {
		g.owner = ""
		g.electionAt = min(g.electionAt, now+time.Duration(g.rand.Int64N(int64(g.opts.Bounds.Of(timing.Heartbeat)))))
	}
}

// promptSuccessor asks the successor to start an election once it has all entries.
func (g *Group) promptSuccessor(out *Output) {
	if p := g.peers[g.successor]; g.successor != "" && p != nil && p.match == g.last() {
		out.SendNow = append(out.SendNow, g.msg(MsgCampaign, g.successor, wire.GroupMsg{}))
	}
}

// Successor returns the best voter to take over ownership: of those that answered within three heartbeats and are not
// avoided, the one that lacks the fewest entries. It returns "" if there is none.
func (g *Group) Successor(isAvoided func(member string) bool, now time.Duration) string {
	best := ""
	for _, m := range Voters(g.roster()) {
		p := g.peers[m]
		if m == g.opts.Self || p == nil || p.isProbing || isAvoided(m) || now-p.ackedAt > g.opts.Bounds.Of(timing.Heartbeat)*3 {
			continue
		}
		if best == "" || p.match > g.peers[best].match {
			best = m
		}
	}
	return best
}

// transferToPreferred transfers ownership to the preferred owner once it has kept up for longer than
// Bounds.ConfigApply.
func (g *Group) transferToPreferred(now time.Duration, out *Output) {
	if g.opts.PreferredOwner == nil || g.successor != "" {
		return
	}
	successor := g.opts.PreferredOwner(g.roster())
	p := g.peers[successor]
	isHere := successor != g.opts.Self && p != nil && !p.isProbing && now-p.ackedAt < g.opts.Bounds.Of(timing.Heartbeat)*3
	if !isHere {
		g.preferredMember = ""
		return
	}
	if g.preferredMember != successor {
		g.preferredMember, g.preferredSince = successor, now
	}
	if now-g.preferredSince > g.opts.Bounds.ConfigApply && g.last()-p.match < appendEntriesLimit {
		g.preferredSince = now
		more := g.TransferOwnership(successor, now)
		out.SendNow = append(out.SendNow, more.SendNow...)
	}
}
