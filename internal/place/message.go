package place

import (
	"caperwheel/internal/errs"
	"caperwheel/internal/wire"
)

// State of a message. Callers see these words.
type State string

// The states. Tomb is a message that was never taken and never will be.
const (
	Held      State = "held"
	Started   State = "started"
	Ended     State = "ended"
	Failed    State = "failed"
	Expired   State = "expired"
	Tombstone State = "rejected"
	Unknown   State = "unknown"
)

// IsOver reports whether nothing more can happen to the message.
func (s State) IsOver() bool { return s == Ended || s == Failed || s == Expired || s == Tombstone }

// transitions lists every change of state that may happen.
var transitions = map[State][]State{
	Held:    {Started, Ended, Failed, Expired},
	Started: {Held, Ended, Failed, Expired},
	"":      {Held, Tombstone},
}

// Message is one message on its way through the system.
//
// Invariants: State changes only through move; Attempt counts the runs begun
// and never goes back; Proof is set exactly when State is Ended, and Proof
// .Attempt names a run that this message began; Body is what the caller sent.
type Message struct {
	Id                    string     `avro:"id"`
	Seq                   int64      `avro:"seq"`
	Lane                  string     `avro:"lane"`
	Key                   string     `avro:"key"`
	Ordered               bool       `avro:"ordered"`
	IdempotencyKey        string     `avro:"idem"`
	ContentType           string     `avro:"ctype"`
	Body                  []byte     `avro:"body"`
	Checksum              string     `avro:"sum"`
	Parent                string     `avro:"parent"`
	Child                 string     `avro:"child"`
	State                 State      `avro:"state"`
	Deadline              int64      `avro:"cutoff"` // place time
	Due                   int64      `avro:"due"`    // place time: held, when it may run; started and ordered, until when its run may go on though nobody tells of it
	ForgetAt              int64      `avro:"over"`   // place time at which an end is forgotten
	Attempt               int64      `avro:"attempt"`
	CountedAttempts       int64      `avro:"spent"` // attempts that count
	Adapter               string     `avro:"adapter"`
	Boot                  string     `avro:"boot"`
	Pool                  string     `avro:"pool"`
	Worker                string     `avro:"worker"`
	Proof                 wire.Proof `avro:"proof"`
	LateProof             wire.Proof `avro:"late"` // success of an older run that came while a newer one is open
	Cause                 string     `avro:"cause"`
	Head                  []byte     `avro:"head" since:"3"`
	StartBy               int64      `avro:"wanted" since:"3"` // place time by which a run should begin; 0 for any
	Notify                string     `avro:"notify" since:"3"`
	IsNotificationPending bool       `avro:"is_owed" since:"3"` // it is over and whoever is to be told has not been
	IsHoldingKey          bool       `avro:"is_holder"`         // the key waits behind it: failed, or held while its last run may go on until Due
}

// transition is the one place where a message changes its state.
func (e *Message) transition(to State) error {
	for _, allowed := range transitions[e.State] {
		if allowed == to {
			e.State = to
			return nil
		}
	}
	return errs.New(errs.Conflict, "errand %s cannot go from %q to %q", e.Id, e.State, to)
}

// expiry is when a message that is held has had its patience, in place time. A
// run that may still go on is waited for: the next of the key must not begin.
func (e *Message) expiry() int64 {
	if e.IsHoldingKey {
		return max(e.Deadline, e.Due)
	}
	return e.Deadline
}

// orderKey joins messages that must run one after another.
func (e *Message) orderKey() string { return e.Lane + "\x00" + e.Key }

func (e *Message) idempotencyKey() string { return e.Lane + "\x00" + e.Key + "\x00" + e.IdempotencyKey }
