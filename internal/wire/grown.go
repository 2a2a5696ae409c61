package wire

import "caperwheel/internal/mishap"

// Grown is a codec for a record on disk and in logs that has gained fields
// since version 1.
//
// Invariants: a record that uses none of them is written as in version 1, so an
// older build reads it; any other begins with mark, a byte with which no record
// of version 1 begins, so an older build refuses it rather than misread it.
type Grown struct {
	old, grown *Plain
	mark       byte
}

// NewGrown builds it for the type of sample, a pointer to a struct.
func NewGrown(sample any, mark byte) *Grown {
	return &Grown{NewPlain(sample), newPlain(sample, Version), mark}
}

// Encode gives the record's bytes; isGrown tells that it uses what is new.
func (g *Grown) Encode(value any, isGrown bool) []byte {
	if !isGrown {
		return g.old.Encode(value)
	}
	return append([]byte{g.mark}, g.grown.Encode(value)...)
}

// Decode reads a record of either kind back.
func (g *Grown) Decode(raw []byte, value any) error {
	if len(raw) == 0 {
		return mishap.New(mishap.Broken, "an empty record")
	}
	if raw[0] == g.mark {
		return g.grown.Decode(raw[1:], value)
	}
	return g.old.Decode(raw, value)
}
