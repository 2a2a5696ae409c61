package wire

// TellTime has an adapter keep a group's time, in milliseconds, as its owner counts it in a term.
type TellTime struct {
	Group   int64 `avro:"group"`
	Term    int64 `avro:"term"`
	Reading int64 `avro:"reading"`
}

// TimeTold answers TellTime: Kind is empty when the adapter keeps the time, or a newer term's.
type TimeTold struct {
	Kind string `avro:"kind"`
}

// AskTime asks an adapter for a group's time.
type AskTime struct {
	Group int64 `avro:"group"`
}

// TimeKept answers AskTime: what the time is now by what the adapter was told in a term. A term
// of 0 means that it was told nothing.
type TimeKept struct {
	Term    int64 `avro:"term"`
	Reading int64 `avro:"reading"`
}
