package place

import (
	"caperwheel/internal/errs"
	"caperwheel/internal/wire"
)

// Result is the result of a command. A Kind other than "" means that the command was refused and changed nothing.
type Result struct {
	Id    string
	State State
	Kind  errs.Kind
	Text  string

	IsRepeat bool              // of a CmdTake: an earlier one has accepted the message already
	Grants   []wire.QuotaGrant // of a CmdCount

	IsRebindable bool // of a message with a tombstone; see wire.Taken
}

// payloadConflict is the result of a CmdTake whose id or idempotency key belongs to a message with other bytes.
func payloadConflict(id string) Result {
	return Result{Id: id, Kind: errs.Conflict, Text: "the same Idempotency-Key came with other bytes", IsRepeat: true}
}

func refuse(kind errs.Kind, id, text string) Result { return Result{Id: id, Kind: kind, Text: text} }
