package group

import (
	"slices"
	"strings"
)

// Repair says which roster step repairs the group, if any: known gives the
// member ids of live stores by name, wanted the names that should hold it.
// Owners call it at intervals; one step at a time.
//
// The order of the steps keeps every member that may still be needed: a dead
// incarnation goes first, since it only costs votes; a store that is not wanted
// keeps its vote until all that are wanted vote in its place.
func (g *Group) Repair(known map[string]string, wanted []string) (Change, bool) {
	if g.role != Owner {
		return Change{}, false
	}
	m := mending{g, known, wanted}
	for _, step := range []func() (Change, bool){m.dropDead, m.dropIdleLearner, m.promote, m.learn, m.dropUnwanted} {
		if change, isDue := step(); isDue {
			return change, true
		}
	}
	return Change{}, false
}

// mending is what the steps of a repair look at.
type mending struct {
	g      *Group
	known  map[string]string
	wanted []string
}

// current gives the member id under which a store would hold the group now;
// empty for one that is away.
func (m mending) current(name string) string {
	for _, member := range m.g.roster() {
		if member = strings.TrimPrefix(member, learner); Name(member) == name && m.g.answers(member) {
			return member // whatever else is heard of it is older
		}
	}
	if id := m.g.renamed[name]; id != "" {
		return id
	}
	for _, member := range m.g.roster() { // a replica rebuilt on a disk that lost only this group
		member = strings.TrimPrefix(member, learner)
		if m.known[name] != "" && strings.HasPrefix(member, m.known[name]+".") {
			return member
		}
	}
	return m.known[name]
}

// answered is how many rounds back an answer still shows that a member is alive.
const answered = 3

// answers reports whether a member answered one of the owner's last rounds.
func (g *Group) answers(id string) bool {
	p := g.peers[id]
	return id == g.opts.Self || p != nil && p.acked > 0 && p.acked >= g.round-answered
}

// isDead tells a member whose store has come back without its disk.
func (m mending) isDead(id string) bool {
	now := m.current(Name(id))
	return now != "" && now != id
}

func (m mending) isWanted(id string) bool { return slices.Contains(m.wanted, Name(id)) }

func (m mending) dropDead() (Change, bool) {
	voters := Voters(m.g.roster())
	for _, id := range voters {
		if m.isDead(id) && len(voters) > 1 {
			return Change{Drop: id}, true
		}
	}
	return Change{}, false
}

// dropIdleLearner takes out a learner that will never vote: its store lost its
// disk, or is away and no longer wanted.
func (m mending) dropIdleLearner() (Change, bool) {
	for _, id := range m.learners() {
		isUnwanted := len(m.wanted) > 0 && !m.isWanted(id)
		if m.isDead(id) || isUnwanted {
			return Change{Drop: id}, true
		}
	}
	return Change{}, false
}

func (m mending) promote() (Change, bool) {
	for _, id := range m.learners() {
		if m.g.isCaughtUp(id) {
			return Change{Promote: id}, true
		}
	}
	return Change{}, false
}

func (m mending) learn() (Change, bool) {
	roster := m.g.roster()
	for _, name := range m.wanted {
		id := m.current(name)
		if id != "" && !slices.Contains(roster, id) && !slices.Contains(roster, learner+id) {
			return Change{Learn: id}, true
		}
	}
	return Change{}, false
}

func (m mending) dropUnwanted() (Change, bool) {
	if !m.covers() {
		return Change{}, false
	}
	for _, id := range Voters(m.g.roster()) {
		if !m.isWanted(id) && (!m.g.answers(id) || m.allAnswer()) {
			return Change{Drop: id}, true
		}
	}
	return Change{}, false
}

// allAnswer reports whether every wanted voter is alive. While one is not, a member
// that is alive has a copy which may be needed, whoever wants it gone.
func (m mending) allAnswer() bool {
	for _, id := range Voters(m.g.roster()) {
		if m.isWanted(id) && !m.g.answers(id) {
			return false
		}
	}
	return true
}

// covers reports whether every wanted store votes already, so that an extra
// member can go. One that is away votes under the id that it had.
func (m mending) covers() bool {
	voters := Voters(m.g.roster())
	for _, name := range m.wanted {
		isVoter := func(id string) bool { return Name(id) == name && !m.isDead(id) }
		if !slices.ContainsFunc(voters, isVoter) {
			return false
		}
	}
	return len(m.wanted) > 0
}

func (m mending) learners() []string {
	out := []string{}
	for _, id := range m.g.roster() {
		if IsLearner(id) {
			out = append(out, strings.TrimPrefix(id, learner))
		}
	}
	return out
}
