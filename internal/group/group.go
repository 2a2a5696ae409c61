// Package group is the replicated group that places and control parts share:
// a majority elects an owner for a term, the owner's log is replicated, and
// its roster changes one member at a time. Group is a pure state machine.
package group

import (
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"caperwheel/internal/timing"
	"caperwheel/internal/wire"
)

// Role is the explicit state of a replica.
type Role int

// Roles. A Listener never votes: it is a learner or not in the roster at all.
const (
	Follower     Role = iota
	PreCandidate      // asks whether an election could be won, without a new term
	Candidate         // campaigns for owner in a new term
	Owner
)

func (r Role) String() string { return [...]string{"follower", "asking", "standing", "owner"}[r] }

// Kinds of log entry.
const (
	EntryData   int32 = iota // a command of the state machine above
	EntryNoOp                // opens an owner's term
	EntryRoster              // a new roster
)

// Kinds of message.
const (
	MsgPreVote int32 = iota // pre-vote
	MsgPreVoteReply
	MsgVote
	MsgVoteReply
	MsgAppend
	MsgAppendReply
	MsgSnapshot         // a whole state for a replica that is too far behind
	MsgCampaign         // the owner hands over: campaign at once
	MsgWrongIncarnation // the member addressed is gone; From is its new incarnation
	MsgSnapshotChunk    // a part of a large image; hosts put it together
)

// Options found a replica.
type Options struct {
	Id             int64
	Self           string // member id: name/incarnation
	Roster         []string
	Bounds         timing.Bounds
	Seed           uint64
	PreferredOwner func(roster []string) string // who should own the group
	HasRoom        func(member string) bool     // whether the link to a member takes more; none given: always
	SupportedLevel int64                        // the newest feature level that this replica can apply
	RequiredLevel  func() int64                 // the level that the group has agreed on, or is about to; none given: 0
}

// HardState is what must be durable before a replica answers. Kept says that the
// replica holds state; a replica that has none never votes.
type HardState struct {
	Term   int64
	Vote   string
	Commit int64
}

// Snapshot is a whole state up to an index.
type Snapshot struct {
	Index, Term int64
	Roster      []string
	State       []byte
}

// DurableUpdate is what one step must sync before its After messages may leave.
type DurableUpdate struct {
	Hard     *HardState
	Entries  []wire.Entry // replaces everything from Entries[0].Index on
	Snapshot *Snapshot    // replaces the whole log
}

// Output is all that one step wants done.
type Output struct {
	Persist            *DurableUpdate
	SendNow            []wire.GroupMsg // may leave at once
	SendAfterSync      []wire.GroupMsg // may leave once Persist is synced
	Apply              []wire.Entry    // committed, in order
	Install            *Snapshot       // replaces the state machine's state, before Apply
	IsOwnershipChanged bool            // role, owner or term changed
}

// Group is one replica.
//
// Invariants: term and commit never go back; log[i].Index == base+1+i; the image
// lies between base and what is applied; an entry
// at or below commit is never replaced; at most one roster change is under way;
// synced is how far this replica's own log is on disk, and only that counts
// towards a majority.
type Group struct {
	opts          Options
	rand          *rand.Rand
	role          Role
	hard          HardState
	owner         string
	base          int64 // what the log begins behind
	baseTerm      int64
	snapshotIndex int64 // the newest image's index: base, or a little later
	snapshotTerm  int64
	log           []wire.Entry
	rosters       []rosterAt // newest last; the first is that of base
	synced        int64

	applied          int64
	heardAt          time.Duration // last word from the owner
	electionAt       time.Duration
	campaignPause    time.Duration // after the newest vain campaign; 0 once an owner was heard
	heartbeatAt      time.Duration
	heartbeatCommit  int64 // commit when the last round began
	votes            map[string]bool
	peers            map[string]*peerState
	round            int64
	rounds           []roundAt // sent and not yet confirmed
	confirmedAt      time.Duration
	ownedAt          time.Duration // when this replica became the owner
	isConfirmed      bool          // confirmed is valid in this term
	noOpIndex        int64
	announcedCommit  int64         // the newest commit that went out with entries or by a tick
	replicatedAt     time.Duration // when entries went out last
	preferredSince   time.Duration
	preferredMember  string
	successor        string            // ownership is being handed to it: nothing is proposed meanwhile
	transferDeadline time.Duration     // else this replica steps down
	newIncarnations  map[string]string // name -> new member id told by MsgWrongIncarnation
}

type rosterAt struct {
	index   int64
	members []string
}

type roundAt struct {
	round int64
	at    time.Duration
}

// New makes a replica from what its disk held. With no image and no roster it
// is a listener that waits for an owner to bring it up to date.
func New(opts Options, hard HardState, snapshot *Snapshot, log []wire.Entry, now time.Duration) *Group {
	g := &Group{opts: opts, hard: hard, log: log, newIncarnations: map[string]string{},
		rand: rand.New(rand.NewPCG(opts.Seed, uint64(opts.Id)))}
	roster := opts.Roster
	if snapshot != nil {
		g.base, g.baseTerm, roster = snapshot.Index, snapshot.Term, snapshot.Roster
	}
	g.snapshotIndex, g.snapshotTerm = g.base, g.baseTerm
	g.rosters = []rosterAt{{g.base, roster}}
	for _, e := range log {
		g.noteRoster(e)
	}
	g.hard.Commit = max(g.hard.Commit, g.base)
	g.hard.Commit = min(g.hard.Commit, g.last())
	g.applied, g.synced = g.base, g.last()
	g.resetElectionTimer(now)
	if g.isPreferred() { // the preferred owner of a fresh start campaigns first
		g.electionAt = now + g.opts.Bounds.Of(timing.Heartbeat)
	}
	return g
}

// Committed gives the entries that New found committed, for replay.
func (g *Group) Committed() []wire.Entry {
	out := slices.Clone(g.log[:g.hard.Commit-g.base])
	g.applied = g.hard.Commit
	return out
}

func (g *Group) last() int64 { return g.base + int64(len(g.log)) }

func (g *Group) termAt(index int64) (int64, bool) {
	switch {
	case index == g.base:
		return g.baseTerm, true
	case index < g.base || index > g.last():
		return 0, false
	}
	return g.log[index-g.base-1].Term, true
}

func (g *Group) lastTerm() int64 { t, _ := g.termAt(g.last()); return t }

// Name gives the store's name within a member id.
func Name(member string) string {
	name, _, _ := strings.Cut(strings.TrimPrefix(member, learner), "/")
	return name
}

const learner = "~"

// IsLearner reports whether a roster entry has no vote.
func IsLearner(member string) bool { return strings.HasPrefix(member, learner) }

// Voters gives the members that count.
func Voters(roster []string) []string {
	return slices.DeleteFunc(slices.Clone(roster), IsLearner)
}

func (g *Group) roster() []string { return g.rosters[len(g.rosters)-1].members }

func (g *Group) isVoter() bool { return slices.Contains(g.roster(), g.opts.Self) }

// replicationTargets are the members that this replica speaks to as an owner. There are
// none while its own disk lacks its first entry, and so may lack the term: one
// that was elected by its own vote alone could lose both, own the term a second
// time, and be found to have told its learners of another first entry.
func (g *Group) replicationTargets() []string {
	out := []string{}
	if g.role == Owner && g.synced < g.noOpIndex && len(Voters(g.roster())) == 1 {
		return out
	}
	for _, m := range g.roster() {
		if m = strings.TrimPrefix(m, learner); m != g.opts.Self {
			out = append(out, m)
		}
	}
	return out
}

func (g *Group) isPreferred() bool {
	return g.opts.PreferredOwner != nil && g.isVoter() && g.opts.PreferredOwner(g.roster()) == g.opts.Self
}

// hasMajority reports whether the members for which test holds are enough.
func (g *Group) hasMajority(test func(member string) bool) bool {
	voters, count := Voters(g.roster()), 0
	for _, m := range voters {
		if test(m) {
			count++
		}
	}
	return len(voters) > 0 && count > len(voters)/2
}
