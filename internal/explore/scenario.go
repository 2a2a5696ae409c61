package explore

// Scenario is a first state, the events that may follow it, and the default depth of its search.
type Scenario struct {
	Name  string
	About string
	Options
	Depth int
}

// limits gives how often events of each kind may happen; kinds that are absent never do.
type limits map[Kind]int

// all returns the limits of all kinds.
func (l limits) all() (out [kindCount]int) {
	for k, n := range l {
		out[k] = n
	}
	return out
}

// Scenarios returns the searches of `fleet check` for a number of founding members. Each one starts a few events away
// from a known kind of failure, so that a short search reaches states that are too deep for a search from a new group.
func Scenarios(members int) []Scenario {
	plain := func(set func(*World) *World, l limits) Options {
		return Options{Members: members, MaxEvents: l.all(), Setup: set}
	}
	spare := func(o Options, spares int) Options { o.SpareMachines = spares; return o }
	padded := func(o Options) Options { o.PaddingBytes = hugeCommandBytes; return o }
	single := spare(plain(withLearners, limits{Timeout: 2, Propose: 1, HeartbeatTick: 1, Restart: 2, Promote: 1}), 1)
	single.Members = 1
	oldName := spare(plain(reusedName, limits{Timeout: 3, HeartbeatTick: 1, Propose: 1}), 1)
	oldName.Members = 2
	rosters := spare(plain(rivalOwners, limits{Timeout: 1, RemoveMember: 1, Promote: 1}), 1)
	rosters.Members = 4 // with three founding members, any majorities of the two rosters intersect
	return []Scenario{
		{"founding", "a new group; two members may be candidates",
			plain(nil, limits{Timeout: 2, Restart: 1, Duplicate: 1}), 14},
		{"split", "two candidates in one term",
			plain(splitVote, limits{Timeout: 1, Restart: 1}), 14},
		{"owner", "an owner, commands, a rival candidate, a restart",
			plain(withOwner, limits{Timeout: 1, Propose: 2, HeartbeatTick: 1, Restart: 1}), 12},
		{"deposed", "an owner was replaced without noticing; its messages are still in flight",
			plain(deposed, limits{Timeout: 1, HeartbeatTick: 1, Restart: 1}), 12},
		{"contested", "two owners each hold a command that nobody else has, and the first is owner again",
			padded(plain(contested, limits{Timeout: 1, HeartbeatTick: 1})), 12},
		{"restarted", "an owner of two terms with a restart in between was replaced without noticing; a reply to its first term is in flight",
			plain(restarted, limits{HeartbeatTick: 2}), 12},
		{"moves", "a blank machine takes the place of a member",
			spare(plain(withOwner, limits{Timeout: 1, Propose: 1, HeartbeatTick: 1, AddLearner: 1, Promote: 1, RemoveMember: 1, Restart: 1}), 1), 11},
		{"rosters", "an owner left a roster change that few members have, and the next owner has just been elected",
			rosters, 12},
		{"images", "a member is sent a snapshot while the entries in it are still in flight",
			padded(plain(compacted, limits{Duplicate: 1, Restart: 1})), 13},
		{"disks", "a disk is replaced while a command is in flight",
			plain(withOwner, limits{Timeout: 2, Propose: 1, HeartbeatTick: 1, ReplaceDisk: 1}), 12},
		{"hand-over", "the owner transfers ownership with commands in flight",
			plain(withOwner, limits{Timeout: 1, Propose: 1, HeartbeatTick: 1, TransferOwnership: 1, Restart: 1}), 12},
		{"old name", "a member restarted with a blank disk under its old name, and the only other member up lacks a committed entry", oldName, 14},
		{"one", "a group of one voter with a learner", single, 14},
	}
}

// hugeCommandBytes is the size of a command that is so large that a log never keeps it after compaction.
const hugeCommandBytes = 200 << 10
