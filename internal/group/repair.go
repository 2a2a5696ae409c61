package group

import (
	"slices"
	"strings"
)

// Repair returns the next roster change that brings the roster closer to the wanted one, if any is due. liveMembers has
// the member ids of the live stores by name; wanted has the names of the stores that should hold the group. It is
// called on the owner at intervals, for one step at a time.
//
// The order of the steps keeps every member that may still be needed. A replaced incarnation is removed first, since it
// counts towards the majority and never votes. A store that is not wanted keeps its vote until all wanted ones vote.
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

// rosterRepair holds the inputs of the steps of Repair.
type rosterRepair struct {
	g           *Group
	liveMembers map[string]string
	wanted      []string
}

// currentMember returns the member id under which a store holds, or would hold, the group now; "" for an absent store.
func (m rosterRepair) currentMember(name string) string {
	for _, member := range m.g.roster() {
		if member = strings.TrimPrefix(member, learner); Name(member) == name && m.g.isResponding(member) {
			return member // it answers, so any other incarnation that was reported is older
		}
	}
	if id := m.g.newIncarnations[name]; id != "" {
		return id
	}
	for _, member := range m.g.roster() { // a replica that was rebuilt on a disk which had lost this group only
		member = strings.TrimPrefix(member, learner)
		if m.liveMembers[name] != "" && strings.HasPrefix(member, m.liveMembers[name]+".") {
			return member
		}
	}
	return m.liveMembers[name]
}

// livenessRounds is the number of heartbeat rounds for which an answer counts as a sign of life.
const livenessRounds = 3

// isResponding reports whether a member has answered one of the owner's last livenessRounds heartbeat rounds.
func (g *Group) isResponding(id string) bool {
	p := g.peers[id]
	return id == g.opts.Self || p != nil && p.acked > 0 && p.acked >= g.round-livenessRounds
}

// isReplaced reports whether the store of a member has come back under another member id, without the member's data.
func (m rosterRepair) isReplaced(id string) bool {
	now := m.currentMember(Name(id))
	return now != "" && now != id
}

// isWanted reports whether the store of a member should hold the group.
func (m rosterRepair) isWanted(id string) bool { return slices.Contains(m.wanted, Name(id)) }

// dropReplaced removes a voter whose store has come back without its data, unless it is the only voter.
func (m rosterRepair) dropReplaced() (Change, bool) {
	voters := Voters(m.g.roster())
	for _, id := range voters {
		if m.isReplaced(id) && len(voters) > 1 {
			return Change{Drop: id}, true
		}
	}
	return Change{}, false
}

// dropIdleLearner removes a learner that will never vote: its store has lost its data or is no longer wanted.
func (m rosterRepair) dropIdleLearner() (Change, bool) {
	for _, id := range m.learners() {
		isUnwanted := len(m.wanted) > 0 && !m.isWanted(id)
		if m.isReplaced(id) || isUnwanted {
			return Change{Drop: id}, true
		}
	}
	return Change{}, false
}

// promoteLearner gives a vote to a learner that has caught up.
func (m rosterRepair) promoteLearner() (Change, bool) {
	for _, id := range m.learners() {
		if m.g.isCaughtUp(id) {
			return Change{Promote: id}, true
		}
	}
	return Change{}, false
}

// addLearner adds a wanted store that is not in the roster yet.
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

// dropUnwanted removes a voter whose store is not wanted, once all wanted stores vote. A voter that still responds is
// removed only if all wanted ones respond too.
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

// doAllWantedRespond reports whether every wanted voter responds. While one does not, the copy of an unwanted member
// that responds may still be needed.
func (m rosterRepair) doAllWantedRespond() bool {
	for _, id := range Voters(m.g.roster()) {
		if m.isWanted(id) && !m.g.isResponding(id) {
			return false
		}
	}
	return true
}

// doAllWantedVote reports whether every wanted store is a voter already, so that a surplus member can be removed. An
// absent store counts as a voter under its last known member id.
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

// learners returns the member ids of the learners in the roster.
func (m rosterRepair) learners() []string {
	out := []string{}
	for _, id := range m.g.roster() {
		if IsLearner(id) {
			out = append(out, strings.TrimPrefix(id, learner))
		}
	}
	return out
}
