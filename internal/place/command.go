// Package place is the state machine of one durable place: the messages taken
// in, their runs and their ends. It is pure; a replicated group carries its
// commands, and every replica applies them alike.
package place

import (
	"caperwheel/internal/wire"
)

// Kinds of command.
const (
	CmdTake            int32 = iota + 1 // hold a message
	CmdStart                            // a run begins
	CmdRunSucceeded                     // a run succeeded
	CmdRunFailed                        // a run ended without success
	CmdClose                            // held or started message fails or expires
	CmdTombstone                        // an undecided message will never run
	CmdTrim                             // forget what has been over for long enough
	CmdOutboxDelivered                  // an outbox entry has been taken elsewhere
	CmdNotified                         // whoever was to be told of an end has been
	CmdLevel                            // from now on replicas apply commands as a newer feature level says
	CmdCount                            // decide what adapters tell and ask of tenants' limits
)

// Command is one entry of a place's log. All that depends on settings or time
// is decided by the owner and written in, so that replicas need neither.
type Command struct {
	Kind            int32      `avro:"kind"`
	At              int64      `avro:"at"` // place time in milliseconds: durations, no wall clock
	Id              string     `avro:"id"`
	Lane            string     `avro:"lane"`
	Key             string     `avro:"key"`
	IdempotencyKey  string     `avro:"idem"`
	ContentType     string     `avro:"ctype"`
	Body            []byte     `avro:"body"`
	Checksum        string     `avro:"sum"`
	Parent          string     `avro:"parent"`
	Ordered         bool       `avro:"ordered"`
	Deadline        int64      `avro:"cutoff"` // Take: patience left; Start: for how long the run may go on; Back: pause before the next run
	Attempt         int64      `avro:"attempt"`
	Adapter         string     `avro:"adapter"`
	Boot            string     `avro:"boot"`
	Pool            string     `avro:"pool"`
	Worker          string     `avro:"worker"`
	Proof           wire.Proof `avro:"proof"`
	Cause           string     `avro:"cause"`
	CountsAsAttempt bool       `avro:"costs"`  // Back: the run counts as an attempt
	State           string     `avro:"state"`  // Close: failed or expired
	Retain          int64      `avro:"retain"` // how long an end is kept
	Child           Child      `avro:"child"`
	Ids             []string   `avro:"ids"`
	HoldsKey        bool       `avro:"hold"` // Close: later messages of the key wait; Back: the run may go on until the pause ends
	Head            []byte     `avro:"head" since:"3"`
	Delay           int64      `avro:"delay" since:"3"`  // Take: it must not run before
	Notify          string     `avro:"notify" since:"3"` // Take: whom to tell of the end
	DropsBody       bool       `avro:"drop" since:"3"`   // End: the bytes are not kept
	StartWithin     int64      `avro:"prompt" since:"3"` // Take: within which a run is wanted to begin, once it may
	Level           int64      `avro:"level" since:"6"`  // Level
	Counts          []byte     `avro:"counts" since:"8"` // Count: a batch of package quota
}

// TimeMark returns a command that does nothing but tell the place time: it forgets none.
func TimeMark() Command { return Command{Kind: CmdTrim} }

// Child is a call-back that leaves with the end of its parent: same record, so
// neither is without the other. An empty Id means none.
type Child struct {
	Id          string `avro:"id"`
	Lane        string `avro:"lane"`
	ContentType string `avro:"ctype"`
	Body        []byte `avro:"body"`
	Checksum    string `avro:"sum"`
	Parent      string `avro:"parent"`
}

// The kind of a command is never 0.
var commandCodec = wire.NewVersionedCodec(&Command{}, wire.PrefixIntIntString)

// Encode gives the command's bytes for the log.
func (c Command) Encode() []byte {
	if c.Ids == nil {
		c.Ids = []string{}
	}
	switch c.Kind {
	case CmdLevel: // also builds of version 6 read it, and refuse a level that they cannot apply
		return commandCodec.EncodeVersion(&c, 6)
	case CmdCount:
		return commandCodec.EncodeVersion(&c, 8)
	}
	return commandCodec.Encode(&c, len(c.Head) > 0 || c.Delay != 0 || c.Notify != "" || c.DropsBody || c.StartWithin != 0)
}

// Decode reads a command back.
func Decode(raw []byte) (Command, error) {
	var c Command
	if err := commandCodec.Decode(raw, &c); err != nil {
		return c, err
	}
	return c, checkLevel(c.Level)
}

// startBy is by when a run of a message taken now should begin; 0 for any time.
func (c Command) startBy(clock int64) int64 {
	if c.StartWithin == 0 {
		return 0
	}
	return clock + c.Delay + c.StartWithin
}
