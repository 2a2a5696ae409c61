package explore

import (
	"fmt"
	"sync"
	"time"

	"caperwheel/internal/group"
	"caperwheel/internal/timing"
	"caperwheel/internal/wire"
)

// Kind is the kind of an event.
type Kind int

// Kinds of events. There are none for loss and delay of messages: a message in flight may be delivered at any later
// time, or never.
const (
	Deliver           Kind = iota // a message arrives
	Duplicate                     // a message arrives and stays in flight, so that it can arrive again
	Sync                          // the oldest unsynced write of a replica becomes durable
	Timeout                       // the longest election timeout of a replica passes without a message from an owner
	HeartbeatTick                 // an owner's clock reaches its next heartbeat
	ClockJump                     // an owner's clock passes all timeouts at once, as after a freeze of the process
	Restart                       // the process restarts; some of the unsynced writes survive
	ReplaceDisk                   // the disk is replaced; the replica restarts blank as another member
	Propose                       // a command is proposed to an owner
	Read                          // an owner serves a read; not generated, as checkReads checks every state
	Compact                       // a replica compacts its log into a snapshot
	TransferOwnership             // an owner transfers ownership to a member
	AddLearner                    // an owner adds a learner
	Promote                       // an owner makes a learner a voter
	RemoveMember                  // an owner removes a member
	kindCount
)

// kindNames are the names of the kinds in traces.
var kindNames = [kindCount]string{"deliver", "repeat", "sync", "timeout", "pulse", "lapse", "restart", "wipe", "propose",
	"compact", "hand over", "learn", "promote", "drop"}

// String returns the name of the kind.
func (k Kind) String() string { return kindNames[k] }

// Event is one transition from a state to the next.
type Event struct {
	Kind         Kind
	Replica      int            // index of the replica
	Message      *wire.GroupMsg // Deliver and Duplicate
	SyncedWrites int            // Restart: number of unsynced writes that survive
	Member       string         // TransferOwnership, AddLearner, Promote and RemoveMember
}

// String describes the event in one line of a trace.
func (e Event) String() string {
	text := fmt.Sprintf("%-9s %s", e.Kind, names[e.Replica])
	switch e.Kind {
	case Deliver, Duplicate:
		m := e.Message
		text += fmt.Sprintf(" <- %s %s term %d index %d/%d commit %d round %d", m.From, messageNames[m.Kind], m.Term,
			m.Index, m.LogTerm, m.Commit, m.Round)
		if m.Reject {
			text += " rejected"
		}
		for _, entry := range m.Entries {
			text += fmt.Sprintf(" [%d/%d %s]", entry.Index, entry.Term, commandText(entry))
		}
	case Restart:
		text += fmt.Sprintf(" keeps %d unsynced", e.SyncedWrites)
	case TransferOwnership, AddLearner, Promote, RemoveMember:
		text += " " + e.Member
	}
	return text
}

// messageNames are the names of the kinds of messages in traces.
var messageNames = map[int32]string{group.MsgPreVote: "ask", group.MsgPreVoteReply: "ask reply", group.MsgVote: "vote",
	group.MsgVoteReply: "vote reply", group.MsgAppend: "append", group.MsgAppendReply: "append reply",
	group.MsgSnapshot: "image", group.MsgCampaign: "stand", group.MsgWrongIncarnation: "not me"}

// Steps by which the clock of a replica advances. Other steps are not used, which keeps the number of states small.
var (
	heartbeatStep       = timing.Default.Of(timing.Heartbeat)
	electionTimeoutStep = timing.Default.Of(timing.ElectionTimeout) + timing.Default.Of(timing.ElectionSpread) + time.Millisecond
	clockJumpStep       = timing.Default.Of(timing.AnswerTimeout)*2 + time.Millisecond
)

// Next returns the state after one event and leaves w unchanged. A panic in the group's code is a breach.
func (w *World) Next(e Event) (next *World) {
	w = w.clone()
	defer func() {
		if cause := recover(); cause != nil {
			w.recordBreach("panic: %v", cause)
			next = w
		}
	}()
	w.eventCounts[e.Kind]++
	r := w.ownReplica(e.Replica)
	switch e.Kind {
	case Deliver:
		w.removeMessage(e.Message)
		w.applyOutput(r, r.stateMachine.Receive(*e.Message, r.now))
	case Duplicate:
		w.applyOutput(r, r.stateMachine.Receive(*e.Message, r.now))
	case Sync:
		w.sync(r)
	case Timeout:
		w.tick(r, electionTimeoutStep)
	case HeartbeatTick:
		r.heartbeatCommit = r.stateMachine.View().Commit
		w.tick(r, heartbeatStep)
	case ClockJump:
		w.tick(r, clockJumpStep)
	case Restart:
		w.restart(r, e.SyncedWrites)
	case ReplaceDisk:
		w.wipe(r)
	case Propose:
		_, _, out, _ := r.stateMachine.Propose(w.command(), r.now)
		w.applyOutput(r, out)
	case Compact:
		w.compact(r)
	case TransferOwnership:
		w.applyOutput(r, r.stateMachine.TransferOwnership(e.Member, r.now))
	case AddLearner, Promote, RemoveMember:
		w.changeRoster(r, e)
	}
	w.checkDurability()
	return w
}

// commandCache caches padded commands, which all states share.
var commandCache sync.Map

// command returns the next command, padded as the options say.
func (w *World) command() []byte {
	text := fmt.Sprintf("x%d", w.eventCounts[Propose])
	if w.options.PaddingBytes == 0 {
		return []byte(text)
	}
	data, _ := commandCache.LoadOrStore(text, append([]byte(text), make([]byte, w.options.PaddingBytes)...))
	return data.([]byte)
}

// tick advances the clock of a replica.
func (w *World) tick(r *replica, span time.Duration) {
	r.now += span
	w.applyOutput(r, r.stateMachine.Tick(r.now))
}

// removeMessage removes a message from those in flight.
func (w *World) removeMessage(m *wire.GroupMsg) {
	for i, other := range w.inFlight {
		if isSame(m, other) {
			w.inFlight = append(w.inFlight[:i:i], w.inFlight[i+1:]...)
			return
		}
	}
}

// changeRoster proposes a roster change to an owner. A change that the owner rejects has no effect.
func (w *World) changeRoster(r *replica, e Event) {
	change := group.Change{}
	switch e.Kind {
	case AddLearner:
		change.Learn = e.Member
	case Promote:
		change.Promote = e.Member
	case RemoveMember:
		change.Drop = e.Member
	}
	if out, err := r.stateMachine.ChangeRoster(change, r.now); err == nil {
		w.checkPromote(r, change)
		w.applyOutput(r, out)
		w.checkRoster(r)
	}
}
