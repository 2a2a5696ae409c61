package group

import (
	"encoding/json"
	"slices"
	"strings"
	"time"

	"caperwheel/internal/errs"
	"caperwheel/internal/wire"
)

// noteRoster adds the roster of an entry, if it holds one, to the rosters in the log.
func (g *Group) noteRoster(e wire.Entry) {
	if e.Kind != EntryRoster {
		return
	}
	members := []string{}
	if err := json.Unmarshal(e.Data, &members); err == nil {
		g.rosters = append(g.rosters, rosterAt{e.Index, members})
	}
}

// rosterAt returns the roster that was in effect as of an index.
func (g *Group) rosterAt(index int64) []string {
	out := g.rosters[0].members
	for _, r := range g.rosters {
		if r.index <= index {
			out = r.members
		}
	}
	return out
}

// Change is one step of a roster change; exactly one field is set, to a member id. Learn adds a learner, Promote makes
// a learner a voter, Drop removes a member. A new member is a learner first, so that a majority never has to wait for
// a member without data.
type Change struct {
	Learn, Promote, Drop string
}

// ChangeRoster proposes one step of a roster change. It is refused while another step is uncommitted, and before the
// owner has committed an entry of its own term.
func (g *Group) ChangeRoster(c Change, now time.Duration) (Output, error) {
	out := Output{}
	if g.role != Owner {
		return out, errs.New(errs.NotOwner, "change the roster of group %d: this replica is not its owner", g.opts.Id)
	}
	if g.rosters[len(g.rosters)-1].index > g.hard.Commit || g.hard.Commit < g.noOpIndex {
		return out, errs.New(errs.Conflict, "another roster change of group %d is not committed yet", g.opts.Id)
	}
	next := slices.Clone(g.roster())
	switch {
	case c.Learn != "" && !slices.Contains(next, c.Learn) && !slices.Contains(next, learner+c.Learn):
		next = append(next, learner+c.Learn)
	case c.Promote != "" && slices.Contains(next, learner+c.Promote) && g.isCaughtUp(c.Promote):
		next[slices.Index(next, learner+c.Promote)] = c.Promote
	case c.Drop != "" && (slices.Contains(next, c.Drop) || slices.Contains(next, learner+c.Drop)):
		next = slices.DeleteFunc(next, func(m string) bool { return strings.TrimPrefix(m, learner) == c.Drop })
		if len(Voters(next)) == 0 {
			return out, errs.New(errs.Rejected, "remove a member of group %d: no voter would be left", g.opts.Id)
		}
	default:
		return out, errs.New(errs.Conflict, "roster change %+v does not apply to roster %v", c, next)
	}
	data, err := json.Marshal(next)
	if err != nil {
		return out, errs.Wrap(err, errs.Internal, "encode roster")
	}
	g.append(wire.Entry{Kind: EntryRoster, Data: data}, &out)
	g.replicate(now, &out)
	for _, m := range g.replicationTargets() { // probe a new member at once, without waiting for the next heartbeat
		if p := g.peer(m); p.isProbing {
			g.sendTo(m, true, now, &out)
		}
	}
	return out, nil
}

// isCaughtUp reports whether a learner can become a voter: it has everything that was committed when the owner's last
// heartbeat round was sent, and supports the required feature level. Entries committed since then do not count, as on a
// busy group some are always still in transit.
func (g *Group) isCaughtUp(m string) bool {
	p := g.peers[m]
	return p != nil && p.match >= g.heartbeatCommit && p.match > 0 && p.supportedLevel >= g.requiredLevel()
}

// requiredLevel returns the feature level that a new voter must support.
func (g *Group) requiredLevel() int64 {
	if g.opts.RequiredLevel == nil {
		return 0
	}
	return g.opts.RequiredLevel()
}

// commonLevel returns the newest feature level that every member of the roster, learners included, has reported it can
// apply; 0 while one has reported none.
func (g *Group) commonLevel() int64 {
	lowest := g.opts.SupportedLevel
	for _, m := range g.replicationTargets() {
		p := g.peers[m]
		if p == nil {
			return 0
		}
		lowest = min(lowest, p.supportedLevel)
	}
	return lowest
}

// onCommit makes an owner step down once a roster without it is committed.
func (g *Group) onCommit(now time.Duration, out *Output) {
	if r := g.rosters[len(g.rosters)-1]; r.index <= g.hard.Commit && !slices.Contains(r.members, g.opts.Self) {
		for _, m := range Voters(r.members) { // the first voter that has all entries takes over
			if p := g.peers[m]; p != nil && p.match == g.last() {
				out.SendNow = append(out.SendNow, g.msg(MsgCampaign, m, wire.GroupMsg{}))
				break
			}
		}
		g.emitCommitted(out)
		g.become(Follower, g.hard.Term, "", now, out)
	}
}
