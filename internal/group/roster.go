package group

import (
	"encoding/json"
	"slices"
	"strings"
	"time"

	"caperwheel/internal/mishap"
	"caperwheel/internal/wire"
)

func (g *Group) noteRoster(e wire.Entry) {
	if e.Kind != EntryRoster {
		return
	}
	members := []string{}
	if err := json.Unmarshal(e.Data, &members); err == nil {
		g.rosts = append(g.rosts, rosterAt{e.Index, members})
	}
}

func (g *Group) rosterAt(index int64) []string {
	out := g.rosts[0].members
	for _, r := range g.rosts {
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
func (g *Group) ChangeRoster(c Change, now time.Duration) (Out, error) {
	out := Out{}
	if g.role != Owner {
		return out, mishap.New(mishap.NotOwner, "group %d", g.opts.Id)
	}
	if g.rosts[len(g.rosts)-1].index > g.hard.Commit || g.hard.Commit < g.blankAt {
		return out, mishap.New(mishap.Conflict, "a roster change of group %d is under way", g.opts.Id)
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
			return out, mishap.New(mishap.Rejected, "group %d would have no voter left", g.opts.Id)
		}
	default:
		return out, mishap.New(mishap.Conflict, "change %+v does not fit roster %v", c, next)
	}
	data, err := json.Marshal(next)
	if err != nil {
		return out, mishap.Wrap(err, mishap.Internal, "roster")
	}
	g.append(wire.Entry{Kind: EntryRoster, Data: data}, &out)
	g.spread(now, &out)
	for _, m := range g.others() { // a new member is told at once
		if p := g.peer(m); p.isProbing {
			g.sendTo(m, true, now, &out)
		}
	}
	return out, nil
}

// isCaughtUp tells whether a learner misses little enough to become a voter.
func (g *Group) isCaughtUp(m string) bool {
	p := g.peers[m]
	return p != nil && p.match >= g.hard.Commit && p.match > 0
}

// onCommit acts on what a commit brings: an owner that has left steps down.
func (g *Group) onCommit(now time.Duration, out *Out) {
	if r := g.rosts[len(g.rosts)-1]; r.index <= g.hard.Commit && !slices.Contains(r.members, g.opts.Self) {
		for _, m := range Voters(r.members) { // the best one left takes over
			if p := g.peers[m]; p != nil && p.match == g.last() {
				out.Now = append(out.Now, g.msg(MsgStand, m, wire.GroupMsg{}))
				break
			}
		}
		g.advance(out)
		g.become(Follower, g.hard.Term, "", now, out)
	}
}

// Mend says which roster step repairs the group, if any: known gives the
// member ids of live stores by name, wanted the names that should hold it.
// Owners call it by beat; one step at a time.
func (g *Group) Mend(known map[string]string, wanted []string) (Change, bool) {
	if g.role != Owner {
		return Change{}, false
	}
	roster := g.roster()
	fresh := func(name string) string {
		if id := g.renamed[name]; id != "" {
			return id
		}
		for _, m := range roster { // a replica rebuilt on a disk that lost only this group
			if m = strings.TrimPrefix(m, learner); known[name] != "" && strings.HasPrefix(m, known[name]+".") {
				return m
			}
		}
		return known[name]
	}
	for _, m := range Voters(roster) { // an incarnation that never returns only costs votes
		if now := fresh(Name(m)); now != "" && now != m && len(Voters(roster)) > 1 {
			return Change{Drop: m}, true
		}
	}
	for _, m := range roster { // finish what was begun
		if id := strings.TrimPrefix(m, learner); IsLearner(m) {
			if now := fresh(Name(id)); now != "" && now != id {
				return Change{Drop: id}, true
			}
			if g.isCaughtUp(id) {
				return Change{Promote: id}, true
			}
		}
	}
	for _, name := range wanted {
		id := fresh(name)
		if id != "" && !slices.Contains(roster, id) && !slices.Contains(roster, learner+id) {
			return Change{Learn: id}, true
		}
	}
	voters := Voters(roster)
	for _, m := range voters {
		if !slices.Contains(wanted, Name(m)) && g.covers(wanted, fresh) {
			return Change{Drop: m}, true
		}
	}
	return Change{}, false
}

// covers tells whether every wanted store votes already, so that an extra
// member can go.
func (g *Group) covers(wanted []string, fresh func(string) string) bool {
	for _, name := range wanted {
		if !slices.ContainsFunc(Voters(g.roster()), func(m string) bool { return Name(m) == name && m == fresh(name) }) {
			return false
		}
	}
	return len(wanted) > 0
}
