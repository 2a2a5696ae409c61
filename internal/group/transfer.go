package group

import (
	"time"

	"caperwheel/internal/timing"
	"caperwheel/internal/wire"
)

// TransferOwnership gives ownership to a member: from now on nothing is proposed, and as
// soon as the member has all entries it is asked to campaign. One that does not
// take over in time has this replica step down: what was refused meanwhile must
// not be taken for still under way. Used before a planned stop and to bring
// ownership back.
func (g *Group) TransferOwnership(to string, now time.Duration) Output {
	out := Output{}
	if g.role == Owner && g.successor == "" && g.peers[to] != nil {
		g.successor, g.transferDeadline = to, now+g.opts.Bounds.Of(timing.TransferTimeout)
		g.promptSuccessor(&out)
	}
	return out
}

// ReportStoreDown tells that a store's process is known to have ended. Followers of an
// owner there need not wait for its silence; each campaigns after a moment of its
// own, so that they seldom campaign together.
func (g *Group) ReportStoreDown(name string, now time.Duration) {
	if g.role == Follower && g.owner != "" && Name(g.owner) == name {
		g.owner = ""
		g.electionAt = min(g.electionAt, now+time.Duration(g.rand.Int64N(int64(g.opts.Bounds.Of(timing.Heartbeat)))))
	}
}

// promptSuccessor asks the successor to campaign once it has all entries.
func (g *Group) promptSuccessor(out *Output) {
	if p := g.peers[g.successor]; g.successor != "" && p != nil && p.match == g.last() {
		out.SendNow = append(out.SendNow, g.msg(MsgCampaign, g.successor, wire.GroupMsg{}))
	}
}

// Successor gives the voter that is best placed to take over, other than avoid: of
// those that answered lately the one that misses least.
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

// transferToPreferred hands the group to its preferred owner once that one has kept up
// for a whole bound.
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
