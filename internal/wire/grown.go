package wire

import (
	"bytes"
	"slices"

	"caperwheel/internal/errs"
)

// Grown is a codec for a record on disk and in logs that has gained fields
// since version 1, and more of them since grownVersion.
//
// Invariants: a record that uses none of them is written as in version 1, so an
// older build reads it; one that uses those up to grownVersion begins with mark, with which no
// record can begin; any other begins with mark twice. An older build refuses what it does not
// know rather than misreads it.
type Grown struct {
	old, grown, newest *Plain
	mark               []byte
}

// grownVersion is the version whose fields a record with one mark has, all of them.
const grownVersion = 5

// Marks, which no record can begin with: what stands where an older build looks
// for a text's length, or for how many items a list has, can be neither.
const (
	MarkNumberText       = "\x00\x01"                         // 0, a text of -1 bytes
	MarkNumberList       = "\x01\x80\x80\x80\x80\x80\x40"     // -1, a list of 2^40 items
	MarkNumberNumberText = "\x00\x00\x01"                     // 0, 0, a text of -1 bytes
	MarkNumberNumberList = "\x01\x00\x80\x80\x80\x80\x80\x40" // -1, 0, a list of 2^40 items
)

// NewGrown builds it for the type of sample, a pointer to a struct, with the
// mark that fits its first fields.
func NewGrown(sample any, mark string) *Grown {
	return &Grown{NewPlain(sample), newPlain(sample, grownVersion), newPlain(sample, Version), []byte(mark)}
}

// Encode gives the record's bytes; isGrown tells that it uses what is new.
func (g *Grown) Encode(value any, isGrown bool) []byte {
	if !isGrown {
		return g.old.Encode(value)
	}
	return append(bytes.Clone(g.mark), g.grown.Encode(value)...)
}

// EncodeNewest gives the bytes of a record that uses fields, or means what, no build before
// this version knows.
func (g *Grown) EncodeNewest(value any) []byte {
	return slices.Concat(g.mark, g.mark, g.newest.Encode(value))
}

// Decode reads a record of any kind back.
func (g *Grown) Decode(raw []byte, value any) error {
	if len(raw) == 0 {
		return errs.New(errs.Corrupt, "an empty record")
	}
	rest, isGrown := bytes.CutPrefix(raw, g.mark)
	if !isGrown {
		return g.old.Decode(raw, value)
	}
	if rest, isNewest := bytes.CutPrefix(rest, g.mark); isNewest {
		return g.newest.Decode(rest, value)
	}
	return g.grown.Decode(rest, value)
}
