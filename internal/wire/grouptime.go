package wire

// TellTime gives an adapter a group's time in milliseconds to keep, as the group's owner counts it in a
// term.
type TellTime struct {
	Group   int64 `avro:"group"`
	Term    int64 `avro:"term"`
	Reading int64 `avro:"reading"`
}

// TimeTold answers TellTime: Kind is empty if the adapter keeps the reading, or one of a newer term.
type TimeTold struct {
	Kind string `avro:"kind"`
}

// AskTime asks an adapter for a group's time.
type AskTime struct {
	Group int64 `avro:"group"`
}

// TimeKept answers AskTime with the current time, extrapolated from the reading that the adapter received
// in Term. A Term of 0 means that it received none.
type TimeKept struct {
	Term    int64 `avro:"term"`
	Reading int64 `avro:"reading"`
}
