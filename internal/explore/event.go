package explore

import (
	"fmt"
	"sync"
	"time"

	"caperwheel/internal/group"
	"caperwheel/internal/timing"
	"caperwheel/internal/wire"
)

// Kind of event.
type Kind int

// Kinds of event. Loss and delay have none: a message that is under way may be
// delivered at any later time, or never.
const (
	Deliver           Kind = iota // a message arrives
	Duplicate                     // a message arrives and stays under way to come again
	Sync                          // the oldest unsynced write of a replica becomes durable
	Timeout                       // a replica has heard no owner for the longest silence
	HeartbeatTick                 // an owner's clock reaches its next heartbeat
	ClockJump                     // an owner's clock passes all bounds at once, as after a freeze
	Restart                       // the process ends; some of the unsynced writes are kept
	ReplaceDisk                   // the disk is replaced; the replica comes back blank as another member
	Propose                       // an owner is given a command
	Read                          // an owner is asked for what is committed
	Compact                       // a replica puts its log into an image
	TransferOwnership             // an owner gives ownership to a member
	AddLearner                    // an owner adds a learner
	Promote                       // an owner makes a learner a voter
	RemoveMember                  // an owner drops a member
	kindCount
)

var kindNames = [kindCount]string{"deliver", "repeat", "sync", "timeout", "pulse", "lapse", "restart", "wipe", "propose",
	"compact", "hand over", "learn", "promote", "drop"}

// String gives an event kind's name.
func (k Kind) String() string { return kindNames[k] }

// Event is one step of a world.
type Event struct {
	Kind         Kind
	Replica      int            // the replica, by its place in the world
	Message      *wire.GroupMsg // Deliver and Repeat
	SyncedWrites int            // Restart: unsynced writes that reached the disk
	Member       string         // TransferOwnership, Learn, Promote and Drop
}

// String tells an event in a trace.
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

var messageNames = map[int32]string{group.MsgPreVote: "ask", group.MsgPreVoteReply: "ask reply", group.MsgVote: "vote",
	group.MsgVoteReply: "vote reply", group.MsgAppend: "append", group.MsgAppendReply: "append reply",
	group.MsgSnapshot: "image", group.MsgCampaign: "stand", group.MsgWrongIncarnation: "not me"}

// Spans by which a clock moves: time is only ever passed in these few steps.
var (
	heartbeatStep       = timing.Default.Of(timing.Heartbeat)
	electionTimeoutStep = timing.Default.Of(timing.ElectionTimeout) + timing.Default.Of(timing.ElectionSpread) + time.Millisecond
	clockJumpStep       = timing.Default.Of(timing.AnswerTimeout)*2 + time.Millisecond
)

// Next returns the world after one event. A panic breaks it, too.
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
		w.applyOutput(r, r.machine.Receive(*e.Message, r.now))
	case Duplicate:
		w.applyOutput(r, r.machine.Receive(*e.Message, r.now))
	case Sync:
		w.sync(r)
	case Timeout:
		w.tick(r, electionTimeoutStep)
	case HeartbeatTick:
		r.heartbeatCommit = r.machine.View().Commit
		w.tick(r, heartbeatStep)
	case ClockJump:
		w.tick(r, clockJumpStep)
	case Restart:
		w.restart(r, e.SyncedWrites)
	case ReplaceDisk:
		w.wipe(r)
	case Propose:
		_, _, out, _ := r.machine.Propose(w.command(), r.now)
		w.applyOutput(r, out)
	case Compact:
		w.compact(r)
	case TransferOwnership:
		w.applyOutput(r, r.machine.TransferOwnership(e.Member, r.now))
	case AddLearner, Promote, RemoveMember:
		w.changeRoster(r, e)
	}
	w.checkDurability()
	return w
}

// commandCache keeps what was made before: states share it.
var commandCache sync.Map

// command makes the next command, with as many bytes as the options ask for.
func (w *World) command() []byte {
	word := fmt.Sprintf("x%d", w.eventCounts[Propose])
	if w.options.PaddingBytes == 0 {
		return []byte(word)
	}
	data, _ := commandCache.LoadOrStore(word, append([]byte(word), make([]byte, w.options.PaddingBytes)...))
	return data.([]byte)
}

func (w *World) tick(r *replica, span time.Duration) {
	r.now += span
	w.applyOutput(r, r.machine.Tick(r.now))
}

// removeMessage removes a message from those under way.
func (w *World) removeMessage(m *wire.GroupMsg) {
	for i, other := range w.inFlight {
		if isSame(m, other) {
			w.inFlight = append(w.inFlight[:i:i], w.inFlight[i+1:]...)
			return
		}
	}
}

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
	if out, err := r.machine.ChangeRoster(change, r.now); err == nil {
		w.checkPromote(r, change)
		w.applyOutput(r, out)
		w.checkRoster(r)
	}
}
