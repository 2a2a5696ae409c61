package place

import (
	"caperwheel/internal/errs"
	"caperwheel/internal/wire"
)

// State is the state of a message. The values are part of the API.
type State string

// The states of a message. Tombstone is a message that was never accepted and never will be.
const (
	Held      State = "held"
	Started   State = "started"
	Ended     State = "ended"
	Failed    State = "failed"
	Expired   State = "expired"
	Tombstone State = "rejected"
	Unknown   State = "unknown"
)

// IsOver reports whether the state is final.
func (s State) IsOver() bool { return s == Ended || s == Failed || s == Expired || s == Tombstone }

// transitions lists the allowed state transitions.
var transitions = map[State][]State{
	Held:    {Started, Ended, Failed, Expired},
	Started: {Held, Ended, Failed, Expired},
	"":      {Held, Tombstone},
}

// Message is a message of a place, from its acceptance until it is forgotten.
//
// Invariants: State changes only through transition; Attempt counts the runs started and never decreases; Proof is
// set if and only if State is Ended, and Proof.Attempt is the number of a run of this message; Body is what the
// caller sent.
type Message struct {
	Id             string `avro:"id"`
	Seq            int64  `avro:"seq"`
	Lane           string `avro:"lane"`
	Key            string `avro:"key"`
	Ordered        bool   `avro:"ordered"`
	IdempotencyKey string `avro:"idem"`
	ContentType    string `avro:"ctype"`
	Body           []byte `avro:"body"`
	Checksum       string `avro:"sum"`
	Parent         string `avro:"parent"`
	Child          string `avro:"child"`
	State          State  `avro:"state"`
	Deadline       int64  `avro:"cutoff"` // place time at which the message expires if it is held
	// Due is a place time. Held: when the message may run; started and ordered: until when the run may go on
	// without a report.
	Due                   int64      `avro:"due"`
	ForgetAt              int64      `avro:"over"` // place time from which on a message that is over may be forgotten
	Attempt               int64      `avro:"attempt"`
	CountedAttempts       int64      `avro:"spent"` // runs that count towards the limit of attempts
	Adapter               string     `avro:"adapter"`
	Boot                  string     `avro:"boot"`
	Pool                  string     `avro:"pool"`
	Worker                string     `avro:"worker"`
	Proof                 wire.Proof `avro:"proof"`
	LateProof             wire.Proof `avro:"late"` // success of an older run that was reported during a newer one
	Cause                 string     `avro:"cause"`
	Head                  []byte     `avro:"head" since:"3"`
	StartBy               int64      `avro:"wanted" since:"3"` // place time by which a run should start; 0 for any
	Notify                string     `avro:"notify" since:"3"`
	IsNotificationPending bool       `avro:"is_owed" since:"3"` // it is over, and its caller has not been notified yet
	// IsHoldingKey: the message blocks later ones of its key. It failed, or its last run may go on until Due.
	IsHoldingKey bool `avro:"is_holder"`
}

// transition changes the state of a message. No other function does.
func (e *Message) transition(to State) error {
	for _, allowed := range transitions[e.State] {
		if allowed == to {
			e.State = to
			return nil
		}
	}
	return errs.New(errs.Conflict, "message %s cannot change from state %q to %q", e.Id, e.State, to)
}

// expiry returns the place time at which a held message expires. If its last run may still go on, it expires only after
// that, as the next message of its key must not start before.
func (e *Message) expiry() int64 {
	if e.IsHoldingKey {
		return max(e.Deadline, e.Due)
	}
	return e.Deadline
}

// orderKey returns the key that is the same for all messages that must run one after another.
func (e *Message) orderKey() string { return e.Lane + "\x00" + e.Key }

// idempotencyKey returns the idempotency key of a message within its lane and ordering key.
func (e *Message) idempotencyKey() string { return e.Lane + "\x00" + e.Key + "\x00" + e.IdempotencyKey }
