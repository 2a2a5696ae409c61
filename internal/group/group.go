// Package group implements the consensus protocol that replicates places and control parts. It is a variant of Raft:
// a majority elects an owner (leader) for a term, the owner replicates its log to the followers, and the roster (the
// set of members) changes by one member at a time. Group is a pure state machine without I/O, clocks or goroutines.
// Package host drives it: it passes in messages, the time and completed syncs, and carries out the Output of each step.
package group

import (
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"caperwheel/internal/timing"
	"caperwheel/internal/wire"
)

// Role is the current role of a replica in its group.
type Role int

// The roles of a replica. A learner, or a replica that is not in the roster, stays a Follower and never votes.
const (
	Follower     Role = iota
	PreCandidate      // runs a pre-vote: finds out whether it could win an election, without starting a new term
	Candidate         // requests votes in a new term
	Owner
)

func (r Role) String() string { return [...]string{"follower", "asking", "standing", "owner"}[r] }

// Kinds of log entries (wire.Entry.Kind).
const (
	EntryData   int32 = iota // a command for the replicated state machine
	EntryNoOp                // the first entry of each term, appended by its owner
	EntryRoster              // a new roster, as a JSON array of member ids
)

// Kinds of messages between replicas (wire.GroupMsg.Kind).
const (
	MsgPreVote int32 = iota
	MsgPreVoteReply
	MsgVote
	MsgVoteReply
	MsgAppend
	MsgAppendReply
	MsgSnapshot         // the whole state, for a replica that lacks entries which the owner has compacted
	MsgCampaign         // the owner transfers ownership to the receiver, which starts an election at once
	MsgWrongIncarnation // the addressed incarnation of the member no longer exists; From is its new member id
	MsgSnapshotChunk    // a chunk of a large snapshot; hosts reassemble it into a MsgSnapshot
)

// Options configure a replica.
type Options struct {
	Id             int64                        // of the group
	Self           string                       // this replica's member id: store name/incarnation
	Roster         []string                     // the members of a new group; the snapshot and the log take precedence
	Bounds         timing.Bounds                // from which all timeouts are derived
	Seed           uint64                       // of the randomness in election timeouts
	PreferredOwner func(roster []string) string // returns the member that should own the group; optional
	HasRoom        func(member string) bool     // reports whether the link to a member accepts more data; nil: always
	SupportedLevel int64                        // the newest feature level that this replica can apply
	RequiredLevel  func() int64                 // returns the level that is agreed on or proposed; nil: 0
}

// HardState is what must be durable before a replica answers a message.
type HardState struct {
	Term   int64
	Vote   string
	Commit int64
}

// Snapshot is the whole replicated state as of a log index.
type Snapshot struct {
	Index, Term int64
	Roster      []string
	State       []byte
}

// DurableUpdate is what must be synced to disk before the SendAfterSync messages of the same step may be sent.
type DurableUpdate struct {
	Hard     *HardState
	Entries  []wire.Entry // replace all entries of the log from Entries[0].Index on
	Snapshot *Snapshot    // replaces the whole log
}

// Output lists everything that the caller of a step has to carry out.
type Output struct {
	Persist            *DurableUpdate  // nil if nothing has to be synced
	SendNow            []wire.GroupMsg // may be sent at once
	SendAfterSync      []wire.GroupMsg // may be sent once Persist is synced
	Apply              []wire.Entry    // newly committed entries, in log order
	Install            *Snapshot       // replaces the state of the state machine, before Apply
	IsOwnershipChanged bool            // the role, the owner or the term has changed
}

// Group is one replica of a group.
//
// Invariants: the term and the commit index never decrease; log[i].Index == base+1+i;
// base <= snapshotIndex <= applied; an entry at or below the commit index is never replaced;
// at most one roster change is uncommitted; synced is the index up to which this replica's own
// log is on disk, and only that counts towards a majority.
type Group struct {
	opts          Options
	rand          *rand.Rand
	role          Role
	hard          HardState
	owner         string // member id of the owner of this term; empty if it is not known
	base          int64  // index of the entry before log[0]
	baseTerm      int64
	snapshotIndex int64 // index of the newest snapshot: base, or a little later, as a tail of the log is kept
	snapshotTerm  int64
	log           []wire.Entry // the entries after base
	rosters       []rosterAt   // the rosters in the log, newest last; the first is the one as of base
	synced        int64        // index up to which the log is on disk

	applied          int64                 // index up to which entries have been emitted for application
	heardAt          time.Duration         // when the last message from the owner arrived
	electionAt       time.Duration         // when the next election is due
	campaignPause    time.Duration         // backoff after the last unsuccessful election; 0 once an owner was heard from
	heartbeatAt      time.Duration         // when the next heartbeat is due
	heartbeatCommit  int64                 // commit index when the last heartbeat round was sent
	votes            map[string]bool       // members that have granted their vote; candidates only
	peers            map[string]*peerState // progress of the other members; owners only
	round            int64                 // number of the newest heartbeat round
	rounds           []roundAt             // heartbeat rounds that a majority has not answered yet
	confirmedAt      time.Duration         // send time of the newest round that a majority has answered
	ownedAt          time.Duration         // when this replica became the owner
	isConfirmed      bool                  // a majority has answered a round of this term, so confirmedAt is valid
	noOpIndex        int64                 // index of this owner's EntryNoOp
	announcedCommit  int64                 // newest commit index sent, with entries or by announceCommit
	replicatedAt     time.Duration         // when new entries were last sent
	preferredSince   time.Duration         // since when preferredMember has been keeping up
	preferredMember  string                // the preferred owner, while it keeps up; else empty
	successor        string                // target of an ownership transfer in progress; nothing is proposed meanwhile
	transferDeadline time.Duration         // this replica steps down if the successor has not taken over by then
	newIncarnations  map[string]string     // store name -> new member id, learned from MsgWrongIncarnation
}

// rosterAt is a roster with the index of the log entry that holds it.
type rosterAt struct {
	index   int64
	members []string
}

// roundAt is a heartbeat round with the time at which it was sent.
type roundAt struct {
	round int64
	at    time.Duration
}

// New creates a replica from the state that was read from its disk. With neither a snapshot nor a roster it
// does not vote, and waits until an owner brings it up to date.
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
	if g.isPreferred() { // after a restart of the group the preferred owner is the first to call an election
		g.electionAt = now + g.opts.Bounds.Of(timing.Heartbeat)
	}
	return g
}

// Committed returns the entries in the log that were committed when New was called, so that the caller can replay
// them, and marks them as applied.
func (g *Group) Committed() []wire.Entry {
	out := slices.Clone(g.log[:g.hard.Commit-g.base])
	g.applied = g.hard.Commit
	return out
}

// last returns the index of the last entry in the log.
func (g *Group) last() int64 { return g.base + int64(len(g.log)) }

// termAt returns the term of the entry at an index; false where the log does not reach back or up to it.
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

// Name returns the store name within a member id.
func Name(member string) string {
	name, _, _ := strings.Cut(strings.TrimPrefix(member, learner), "/")
	return name
}

// learner is the prefix of learners in a roster.
const learner = "~"

// IsLearner reports whether a member of a roster is a learner, which receives the log but has no vote.
func IsLearner(member string) bool { return strings.HasPrefix(member, learner) }

// Voters returns the members of a roster that have a vote.
func Voters(roster []string) []string {
	return slices.DeleteFunc(slices.Clone(roster), IsLearner)
}

// roster returns the newest roster in the log; it takes effect when it is appended, not when it is committed.
func (g *Group) roster() []string { return g.rosters[len(g.rosters)-1].members }

func (g *Group) isVoter() bool { return slices.Contains(g.roster(), g.opts.Self) }

// replicationTargets returns the members to which this replica sends as an owner. There are none while it is the only
// voter and its first entry of the term is not synced: it could lose entry and term in a crash, elect itself in the
// same term again, and send its learners a different first entry under the same index and term.
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

// isPreferred reports whether this replica is a voter and the preferred owner of the group.
func (g *Group) isPreferred() bool {
	return g.opts.PreferredOwner != nil && g.isVoter() && g.opts.PreferredOwner(g.roster()) == g.opts.Self
}

// hasMajority reports whether test holds for a majority of the voters.
func (g *Group) hasMajority(test func(member string) bool) bool {
	voters, count := Voters(g.roster()), 0
	for _, m := range voters {
		if test(m) {
			count++
		}
	}
	return len(voters) > 0 && count > len(voters)/2
}
