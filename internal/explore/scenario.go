package explore

// Scenario is a first state with the events that may follow it, and how far
// the search for it goes by default.
type Scenario struct {
	Name  string
	About string
	Options
	Depth int
}

// limits names how often events of each kind may happen.
type limits map[Kind]int

func (l limits) all() (out [kindCount]int) {
	for k, n := range l {
		out[k] = n
	}
	return out
}

// Scenarios gives the searches of `fleet check`, for a number of founding
// members. Each begins where its kind of trouble is near, so that a short
// search comes to what a long one from the founding on would have to find.
func Scenarios(members int) []Scenario {
	plain := func(set func(*World) *World, l limits) Options {
		return Options{Members: members, MaxEvents: l.all(), Setup: set}
	}
	spare := func(o Options, spares int) Options { o.SpareMachines = spares; return o }
	padded := func(o Options) Options { o.PaddingBytes = hugeCommandBytes; return o }
	one := spare(plain(withLearners, limits{Timeout: 2, Propose: 1, HeartbeatTick: 1, Restart: 2, Promote: 1}), 1)
	one.Members = 1
	old := spare(plain(reusedName, limits{Timeout: 3, HeartbeatTick: 1, Propose: 1}), 1)
	old.Members = 2
	rosters := spare(plain(rivalOwners, limits{Timeout: 1, RemoveMember: 1, Promote: 1}), 1)
	rosters.Members = 4 // with three, any majorities of two rosters meet
	return []Scenario{
		{"founding", "nothing has happened yet; two may stand",
			plain(nil, limits{Timeout: 2, Restart: 1, Duplicate: 1}), 14},
		{"split", "two stand in one term",
			plain(splitVote, limits{Timeout: 1, Restart: 1}), 14},
		{"owner", "an owner, commands, a rival, a restart",
			plain(withOwner, limits{Timeout: 1, Propose: 2, HeartbeatTick: 1, Restart: 1}), 12},
		{"deposed", "an owner was replaced unheard; what it sent is still under way",
			plain(deposed, limits{Timeout: 1, HeartbeatTick: 1, Restart: 1}), 12},
		{"contested", "two owners have each left a command that they alone hold, and the first owns again",
			padded(plain(contested, limits{Timeout: 1, HeartbeatTick: 1})), 12},
		{"restarted", "an owner of two terms with a restart between was replaced unheard; an answer from its first is under way",
			plain(restarted, limits{HeartbeatTick: 2}), 12},
		{"moves", "a seat goes to a blank machine",
			spare(plain(withOwner, limits{Timeout: 1, Propose: 1, HeartbeatTick: 1, AddLearner: 1, Promote: 1, RemoveMember: 1, Restart: 1}), 1), 11},
		{"rosters", "one owner left a roster that few know, and the next has just begun",
			rosters, 12},
		{"images", "a member is sent the image while the entries in it are still under way",
			padded(plain(compacted, limits{Duplicate: 1, Restart: 1})), 13},
		{"disks", "a disk is replaced while a command is under way",
			plain(withOwner, limits{Timeout: 2, Propose: 1, HeartbeatTick: 1, ReplaceDisk: 1}), 12},
		{"hand-over", "the owner gives ownership away with commands under way",
			plain(withOwner, limits{Timeout: 1, Propose: 1, HeartbeatTick: 1, TransferOwnership: 1, Restart: 1}), 12},
		{"old name", "a disk came back blank under its old name, and only who lacks a commit is there beside it", old, 14},
		{"one", "a group of one with a learner", one, 14},
	}
}

// hugeCommandBytes is a command that no log keeps beside its image.
const hugeCommandBytes = 200 << 10
