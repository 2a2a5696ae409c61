package group

import (
	"encoding/json"
	"slices"
	"strings"
	"time"

	"caperwheel/internal/errs"
	"caperwheel/internal/wire"
)

func (g *Group) noteRoster(e wire.Entry) {
	if e.Kind != EntryRoster {
		return
	}
	members := []string{}
	if err := json.Unmarshal(e.Data, &members); err == nil {
		g.rosters = append(g.rosters, rosterAt{e.Index, members})
	}
}

func (g *Group) rosterAt(index int64) []string {
	out := g.rosters[0].members
	for _, r := range g.rosters {
		if r.index <= index {
			out = r.members
		}
	}
	return out
}

// Change is one step of a roster: add a learner, make it a voter, drop a
// member. Learners first, so that a majority never waits for a blank disk.
type Change struct {
	Learn, Promote, Drop string
}

// ChangeRoster proposes one step. It is refused while another is under way and
// before the owner has committed in its own term.
func (g *Group) ChangeRoster(c Change, now time.Duration) (Output, error) {
	out := Output{}
	if g.role != Owner {
		return out, errs.New(errs.NotOwner, "group %d", g.opts.Id)
	}
	if g.rosters[len(g.rosters)-1].index > g.hard.Commit || g.hard.Commit < g.noOpIndex {
		return out, errs.New(errs.Conflict, "a roster change of group %d is under way", g.opts.Id)
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
			return out, errs.New(errs.Rejected, "group %d would have no voter left", g.opts.Id)
		}
	default:
		return out, errs.New(errs.Conflict, "change %+v does not fit roster %v", c, next)
	}
	data, err := json.Marshal(next)
	if err != nil {
		return out, errs.Wrap(err, errs.Internal, "roster")
	}
	g.append(wire.Entry{Kind: EntryRoster, Data: data}, &out)
	g.replicate(now, &out)
	for _, m := range g.replicationTargets() { // a new member is told at once
		if p := g.peer(m); p.isProbing {
			g.sendTo(m, true, now, &out)
		}
	}
	return out, nil
}

// isCaughtUp reports whether a learner misses little enough to become a voter: it
// has all that was committed when the owner's last round began, and can apply what the group has
// agreed on. What was committed since is on its way, and a busy group's learner never has all of it.
func (g *Group) isCaughtUp(m string) bool {
	p := g.peers[m]
	return p != nil && p.match >= g.heartbeatCommit && p.match > 0 && p.supportedLevel >= g.requiredLevel()
}

func (g *Group) requiredLevel() int64 {
	if g.opts.RequiredLevel == nil {
		return 0
	}
	return g.opts.RequiredLevel()
}

// level is the newest feature level that every member of the roster can apply, learners too, as
// they told this owner.
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

// onCommit acts on what a commit brings: an owner that has left steps down.
func (g *Group) onCommit(now time.Duration, out *Output) {
	if r := g.rosters[len(g.rosters)-1]; r.index <= g.hard.Commit && !slices.Contains(r.members, g.opts.Self) {
		for _, m := range Voters(r.members) { // the best one left takes over
			if p := g.peers[m]; p != nil && p.match == g.last() {
				out.SendNow = append(out.SendNow, g.msg(MsgCampaign, m, wire.GroupMsg{}))
				break
			}
		}
		g.emitCommitted(out)
		g.become(Follower, g.hard.Term, "", now, out)
	}
}
