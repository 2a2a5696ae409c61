package wire

import (
	"bytes"
	"slices"

	"caperwheel/internal/errs"
)

// Grown is a codec for a record on disk and in logs that has gained fields
// since version 1, and more of them since.
//
// Invariants: a record that uses none of them is written as in version 1, so an
// older build reads it; one that uses later ones begins with mark, with which no
// record can begin, once for each step of grownVersions that it needs. An older build refuses
// what it does not know rather than misreads it.
type Grown struct {
	old   *Plain
	grown []*Plain // by how many marks stand before a record, from one on
	mark  []byte
}

// grownVersions are the versions whose fields a record has, all of them, by how many marks stand before it.
// A version whose records have new fields is a step of its own, behind the others.
var grownVersions = []int64{5, 7, 8}

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
	g := &Grown{old: NewPlain(sample), mark: []byte(mark)}
	for _, version := range grownVersions {
		g.grown = append(g.grown, newPlain(sample, version))
	}
	return g
}

// Encode gives the record's bytes; isGrown tells that it uses what is new in version 5 or before.
func (g *Grown) Encode(value any, isGrown bool) []byte {
	if !isGrown {
		return g.old.Encode(value)
	}
	return g.EncodeOf(value, grownVersions[0])
}

// EncodeOf gives the bytes of a record that uses fields, or means what, no build before a version knows.
func (g *Grown) EncodeOf(value any, version int64) []byte {
	step := len(grownVersions) - 1
	for step > 0 && grownVersions[step-1] >= version {
		step--
	}
	return slices.Concat(bytes.Repeat(g.mark, step+1), g.grown[step].Encode(value))
}

// Decode reads a record of any kind back.
func (g *Grown) Decode(raw []byte, value any) error {
	if len(raw) == 0 {
		return errs.New(errs.Corrupt, "an empty record")
	}
	codec := g.old
	for _, grown := range g.grown {
		rest, isMarked := bytes.CutPrefix(raw, g.mark)
		if !isMarked {
			break
		}
		raw, codec = rest, grown
	}
	return codec.Decode(raw, value)
}
