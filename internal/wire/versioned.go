package wire

import (
	"bytes"
	"slices"

	"caperwheel/internal/errs"
)

// VersionedCodec is a codec for a record on disk and in logs that has gained fields
// since version 1, and more of them since.
//
// Invariants: a record that uses none of them is written as in version 1, so an
// older build reads it; one that uses later ones begins with mark, with which no
// record can begin, once for each step of recordVersions that it needs. An older build refuses
// what it does not know rather than misreads it.
type VersionedCodec struct {
	base     *RecordCodec
	extended []*RecordCodec // by how many marks stand before a record, from one on
	prefix   []byte
}

// recordVersions are the versions whose fields a record has, all of them, by how many marks stand before it.
// A version whose records have new fields is a step of its own, behind the others.
var recordVersions = []int64{5, 7, 8}

// Marks, which no record can begin with: what stands where an older build looks
// for a text's length, or for how many items a list has, can be neither.
const (
	PrefixIntString    = "\x00\x01"                         // 0, a text of -1 bytes
	PrefixIntList      = "\x01\x80\x80\x80\x80\x80\x40"     // -1, a list of 2^40 items
	PrefixIntIntString = "\x00\x00\x01"                     // 0, 0, a text of -1 bytes
	PrefixIntIntList   = "\x01\x00\x80\x80\x80\x80\x80\x40" // -1, 0, a list of 2^40 items
)

// NewVersionedCodec builds it for the type of sample, a pointer to a struct, with the
// mark that fits its first fields.
func NewVersionedCodec(sample any, prefix string) *VersionedCodec {
	g := &VersionedCodec{base: NewRecordCodec(sample), prefix: []byte(prefix)}
	for _, version := range recordVersions {
		g.extended = append(g.extended, newRecordCodec(sample, version))
	}
	return g
}

// Encode gives the record's bytes; isExtended tells that it uses what is new in version 5 or before.
func (g *VersionedCodec) Encode(value any, isExtended bool) []byte {
	if !isExtended {
		return g.base.Encode(value)
	}
	return g.EncodeVersion(value, recordVersions[0])
}

// EncodeVersion gives the bytes of a record that uses fields, or means what, no build before a version knows.
func (g *VersionedCodec) EncodeVersion(value any, version int64) []byte {
	step := len(recordVersions) - 1
	for step > 0 && recordVersions[step-1] >= version {
		step--
	}
	return slices.Concat(bytes.Repeat(g.prefix, step+1), g.extended[step].Encode(value))
}

// Decode reads a record of any kind back.
func (g *VersionedCodec) Decode(raw []byte, value any) error {
	if len(raw) == 0 {
		return errs.New(errs.Corrupt, "an empty record")
	}
	codec := g.base
	for _, extended := range g.extended {
		rest, hasPrefix := bytes.CutPrefix(raw, g.prefix)
		if !hasPrefix {
			break
		}
		raw, codec = rest, extended
	}
	return codec.Decode(raw, value)
}
