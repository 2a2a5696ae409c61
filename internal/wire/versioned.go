package wire

import (
	"bytes"
	"slices"

	"caperwheel/internal/errs"
)

// VersionedCodec encodes records on disk and in logs whose type has gained fields since version 1, in
// several steps.
//
// Invariants: a record that uses no later field is written as in version 1, so that older builds can read
// it; one that uses later fields starts with prefix, which no version 1 record can start with, repeated
// once for each step of recordVersions up to the one that it needs. An older build rejects what it does not
// know and never misreads it.
type VersionedCodec struct {
	base     *RecordCodec
	extended []*RecordCodec // by the number of prefixes on a record, from 1 on
	prefix   []byte
}

// recordVersions are the wire versions in which records gained fields, by the number of prefixes minus 1. A
// version with new record fields is appended as a step of its own.
var recordVersions = []int64{5, 7, 8, 9}

// Prefixes that no version 1 record can start with: where an older build expects the length of a string or
// the number of items of a list, it finds a value that is invalid there.
const (
	PrefixIntString    = "\x00\x01"                         // 0, then a string of -1 bytes
	PrefixIntList      = "\x01\x80\x80\x80\x80\x80\x40"     // -1, then a list of 2^40 items
	PrefixIntIntString = "\x00\x00\x01"                     // 0, 0, then a string of -1 bytes
	PrefixIntIntList   = "\x01\x00\x80\x80\x80\x80\x80\x40" // -1, 0, then a list of 2^40 items
)

// NewVersionedCodec returns a codec for the type of sample, a pointer to a struct, with the prefix that
// matches the types of its first fields.
func NewVersionedCodec(sample any, prefix string) *VersionedCodec {
	g := &VersionedCodec{base: NewRecordCodec(sample), prefix: []byte(prefix)}
	for _, version := range recordVersions {
		g.extended = append(g.extended, newRecordCodec(sample, version))
	}
	return g
}

// Encode returns the record's bytes. isExtended says that it uses fields of version 5 or earlier that
// version 1 lacks.
func (g *VersionedCodec) Encode(value any, isExtended bool) []byte {
	if !isExtended {
		return g.base.Encode(value)
	}
	return g.EncodeVersion(value, recordVersions[0])
}

// EncodeVersion returns the bytes of a record that uses fields, or meanings of fields, that no build before
// the given version knows.
func (g *VersionedCodec) EncodeVersion(value any, version int64) []byte {
	step := len(recordVersions) - 1
	for step > 0 && recordVersions[step-1] >= version {
		step--
	}
	return slices.Concat(bytes.Repeat(g.prefix, step+1), g.extended[step].Encode(value))
}

// Decode reads a record of any version into value.
func (g *VersionedCodec) Decode(raw []byte, value any) error {
	if len(raw) == 0 {
		return errs.New(errs.Corrupt, "decode record: it is empty")
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
