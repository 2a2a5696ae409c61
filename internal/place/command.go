// Package place is the replicated state machine of one place, a durable partition of the messages. It holds the
// accepted messages, their runs at workers, their outcomes, and the counts of tenants' limits.
//
// Machine has no I/O and no clock. Package store proposes its commands to a replicated group (package group), and every
// replica applies the committed ones in the same way. Time is place time: milliseconds of the group's own clock
// (package groupclock), which each command carries.
package place

import (
	"caperwheel/internal/wire"
)

// Kinds of commands.
const (
	CmdTake            int32 = iota + 1 // accept a message; it is held until a run starts
	CmdStart                            // a run starts
	CmdRunSucceeded                     // a run succeeded
	CmdRunFailed                        // a run ended without success; the message is held again
	CmdClose                            // a held or started message fails or expires
	CmdTombstone                        // a message whose acceptance is undecided will never be accepted
	CmdTrim                             // forget messages whose retention time is over
	CmdOutboxDelivered                  // another place has accepted a call-back of the outbox
	CmdNotified                         // the callers have been notified of the outcomes of these messages
	CmdLevel                            // apply commands by a newer feature level from now on
	CmdCount                            // decide a batch of adapters' reports and requests about tenants' limits
	CmdClaim                            // bind an operation key to the id of its message
)

// Command is one entry of a place's log. Everything that depends on settings or time is decided by the owner and
// written into the command, so that replicas need neither. Fields apply to all kinds unless a kind is named.
type Command struct {
	Kind           int32  `avro:"kind"`
	At             int64  `avro:"at"` // place time in milliseconds; not a wall clock
	Id             string `avro:"id"`
	Lane           string `avro:"lane"`
	Key            string `avro:"key"`
	IdempotencyKey string `avro:"idem"`
	ContentType    string `avro:"ctype"`
	Body           []byte `avro:"body"`
	Checksum       string `avro:"sum"`
	Parent         string `avro:"parent"`
	Ordered        bool   `avro:"ordered"`
	// Deadline is a duration. Take: time to live; Start: how long the run may go on; RunFailed: backoff.
	Deadline        int64      `avro:"cutoff"`
	Attempt         int64      `avro:"attempt"`
	Adapter         string     `avro:"adapter"`
	Boot            string     `avro:"boot"`
	Pool            string     `avro:"pool"`
	Worker          string     `avro:"worker"`
	Proof           wire.Proof `avro:"proof"`
	Cause           string     `avro:"cause"`  // RunFailed, Close: kind of the error; Tombstone: CauseOperation or empty
	CountsAsAttempt bool       `avro:"costs"`  // RunFailed, Close: the run counts towards the limit of attempts
	State           string     `avro:"state"`  // Close: the final state, failed or expired
	Retain          int64      `avro:"retain"` // how long a message is kept after it is over; Claim, Take: how long the claim is kept
	Child           Child      `avro:"child"`
	Ids             []string   `avro:"ids"`
	// HoldsKey blocks the later messages of the key; RunFailed: until the backoff ends, as the run may go on so long.
	HoldsKey bool   `avro:"hold"`
	Head     []byte `avro:"head" since:"3"`
	Delay    int64  `avro:"delay" since:"3"`  // Take: no run starts before this time has passed
	Notify   string `avro:"notify" since:"3"` // Take: URL that is notified of the outcome; empty for none
	// DropsBody, of RunSucceeded: the body is not kept, and the head only until the notification.
	DropsBody bool `avro:"drop" since:"3"`
	// StartWithin, of Take: time within which a run should start once it may; 0 for any.
	StartWithin int64  `avro:"prompt" since:"3"`
	Level       int64  `avro:"level" since:"6"`  // Level: the new feature level
	Counts      []byte `avro:"counts" since:"8"` // Count: an encoded quota.Batch
	// Claim, and Take at the home of an operation key; see wire.OperationClaim.
	Operation string `avro:"operation" since:"9"`
	Tenant    string `avro:"tenant" since:"9"`
	Sender    string `avro:"sender" since:"9"`
	Replaces  string `avro:"replaces" since:"9"`
}

// TimeMark returns a command that only advances the place time: a CmdTrim of no messages.
func TimeMark() Command { return Command{Kind: CmdTrim} }

// Child is a call-back: a new message that is sent to another place when its parent succeeds. It is committed in the
// same record as the parent's outcome, so that neither exists without the other. An empty Id means none.
type Child struct {
	Id          string `avro:"id"`
	Lane        string `avro:"lane"`
	ContentType string `avro:"ctype"`
	Body        []byte `avro:"body"`
	Checksum    string `avro:"sum"`
	Parent      string `avro:"parent"`
}

// commandCodec marks records of newer versions by a prefix that no older record can have: the kind of a command is
// never 0.
var commandCodec = wire.NewVersionedCodec(&Command{}, wire.PrefixIntIntString)

// Encode returns the encoded command for the log, in the oldest version that has all fields that are set.
func (c Command) Encode() []byte {
	if c.Ids == nil {
		c.Ids = []string{}
	}
	switch {
	case c.Operation != "":
		return commandCodec.EncodeVersion(&c, 9)
	case c.Kind == CmdLevel: // builds from version 6 on can decode it, and refuse a level that they cannot apply
		return commandCodec.EncodeVersion(&c, 6)
	case c.Kind == CmdCount:
		return commandCodec.EncodeVersion(&c, 8)
	}
	return commandCodec.Encode(&c, len(c.Head) > 0 || c.Delay != 0 || c.Notify != "" || c.DropsBody || c.StartWithin != 0)
}

// Decode decodes a command of the log. It returns an error of the kind Rejected for a feature level that this build
// cannot apply.
func Decode(raw []byte) (Command, error) {
	var c Command
	if err := commandCodec.Decode(raw, &c); err != nil {
		return c, err
	}
	return c, checkLevel(c.Level)
}

// startBy returns the place time by which a run of a message accepted now should start; 0 for any time.
func (c Command) startBy(clock int64) int64 {
	if c.StartWithin == 0 {
		return 0
	}
	return clock + c.Delay + c.StartWithin
}
