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
func (g *Group) Repair(liveMembers map[string]string, wanted []string) (Change, bool) {
	if g.role != Owner {
		return Change{}, false
	}
	m := rosterRepair{g, liveMembers, wanted}
	for _, step := range []func() (Change, bool){m.dropReplaced, m.dropIdleLearner, m.promoteLearner, m.addLearner, m.dropUnwanted} {
		if change, isDue := step(); isDue {
			return change, true
		}
	}
	return Change{}, false
}

// rosterRepair is what the steps of a repair look at.
type rosterRepair struct {
	g           *Group
	liveMembers map[string]string
	wanted      []string
}

// currentMember gives the member id under which a store would hold the group now;
// empty for one that is away.
func (m rosterRepair) currentMember(name string) string {
	for _, member := range m.g.roster() {
		if member = strings.TrimPrefix(member, learner); Name(member) == name && m.g.isResponding(member) {
			return member // whatever else is heard of it is older
		}
	}
	if id := m.g.newIncarnations[name]; id != "" {
		return id
	}
	for _, member := range m.g.roster() { // a replica rebuilt on a disk that lost only this group
		member = strings.TrimPrefix(member, learner)
		if m.liveMembers[name] != "" && strings.HasPrefix(member, m.liveMembers[name]+".") {
			return member
		}
	}
	return m.liveMembers[name]
}

// livenessRounds is how many rounds back an answer still shows that a member is alive.
const livenessRounds = 3

// isResponding reports whether a member answered one of the owner's last rounds.
func (g *Group) isResponding(id string) bool {
	p := g.peers[id]
	return id == g.opts.Self || p != nil && p.acked > 0 && p.acked >= g.round-livenessRounds
}

// isReplaced tells a member whose store has come back without its disk.
func (m rosterRepair) isReplaced(id string) bool {
	now := m.currentMember(Name(id))
	return now != "" && now != id
}

func (m rosterRepair) isWanted(id string) bool { return slices.Contains(m.wanted, Name(id)) }

func (m rosterRepair) dropReplaced() (Change, bool) {
	voters := Voters(m.g.roster())
	for _, id := range voters {
		if m.isReplaced(id) && len(voters) > 1 {
			return Change{Drop: id}, true
		}
	}
	return Change{}, false
}

// dropIdleLearner takes out a learner that will never vote: its store lost its
// disk, or is away and no longer wanted.
func (m rosterRepair) dropIdleLearner() (Change, bool) {
	for _, id := range m.learners() {
		isUnwanted := len(m.wanted) > 0 && !m.isWanted(id)
		if m.isReplaced(id) || isUnwanted {
			return Change{Drop: id}, true
		}
	}
	return Change{}, false
}

func (m rosterRepair) promoteLearner() (Change, bool) {
	for _, id := range m.learners() {
		if m.g.isCaughtUp(id) {
			return Change{Promote: id}, true
		}
	}
	return Change{}, false
}

func (m rosterRepair) addLearner() (Change, bool) {
	roster := m.g.roster()
	for _, name := range m.wanted {
		id := m.currentMember(name)
		if id != "" && !slices.Contains(roster, id) && !slices.Contains(roster, learner+id) {
			return Change{Learn: id}, true
		}
	}
	return Change{}, false
}

func (m rosterRepair) dropUnwanted() (Change, bool) {
	if !m.doAllWantedVote() {
		return Change{}, false
	}
	for _, id := range Voters(m.g.roster()) {
		if !m.isWanted(id) && (!m.g.isResponding(id) || m.doAllWantedRespond()) {
			return Change{Drop: id}, true
		}
	}
	return Change{}, false
}

// doAllWantedRespond reports whether every wanted voter is alive. While one is not, a member
// that is alive has a copy which may be needed, whoever wants it gone.
func (m rosterRepair) doAllWantedRespond() bool {
	for _, id := range Voters(m.g.roster()) {
		if m.isWanted(id) && !m.g.isResponding(id) {
			return false
		}
	}
	return true
}

// doAllWantedVote reports whether every wanted store votes already, so that an extra
// member can go. One that is away votes under the id that it had.
func (m rosterRepair) doAllWantedVote() bool {
	voters := Voters(m.g.roster())
	for _, name := range m.wanted {
		isVoter := func(id string) bool { return Name(id) == name && !m.isReplaced(id) }
		if !slices.ContainsFunc(voters, isVoter) {
			return false
		}
	}
	return len(m.wanted) > 0
}

func (m rosterRepair) learners() []string {
	out := []string{}
	for _, id := range m.g.roster() {
		if IsLearner(id) {
			out = append(out, strings.TrimPrefix(id, learner))
		}
	}
	return out
}
