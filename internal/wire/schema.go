// Package wire holds what caperwheel's daemons say to each other: one Avro
// schema for each direction of each kind of link, and the Go types behind it.
package wire

import (
	"encoding/json"
	"reflect"
	"strconv"
	"sync"

	"github.com/hamba/avro/v2"

	"caperwheel/internal/errs"
)

type field struct {
	Name string `json:"name"`
	Type any    `json:"type"`
}

type record struct {
	Type   string  `json:"type"`
	Name   string  `json:"name"`
	Fields []field `json:"fields"`
}

// What one datum may make a receiver allocate: bytes of a text or body, and
// items of a list.
const (
	sliceBytesLimit = 16 << 20
	listItemsLimit  = 1 << 17
)

// schemaOf gives the schema of a type as a wire version has it: a field tagged
// since:"N" is not there before version N, so an older peer neither gets nor
// sends it, and the newer one reads its zero value.
func schemaOf(t reflect.Type, version int64, seen map[string]bool) any {
	switch t.Kind() {
	case reflect.String:
		return "string"
	case reflect.Bool:
		return "boolean"
	case reflect.Int32:
		return "int"
	case reflect.Int64, reflect.Int:
		return "long"
	case reflect.Float64:
		return "double"
	case reflect.Slice:
		if t.Elem().Kind() == reflect.Uint8 {
			return "bytes"
		}
		return map[string]any{"type": "array", "items": schemaOf(t.Elem(), version, seen)}
	case reflect.Map:
		return map[string]any{"type": "map", "values": schemaOf(t.Elem(), version, seen)}
	case reflect.Struct:
		if seen[t.Name()] {
			return t.Name()
		}
		seen[t.Name()] = true
		out := record{Type: "record", Name: t.Name(), Fields: []field{}}
		for i := range t.NumField() {
			f := t.Field(i)
			if since, err := strconv.ParseInt(f.Tag.Get("since"), 10, 64); err == nil && since > version {
				continue
			}
			out.Fields = append(out.Fields, field{Name: f.Tag.Get("avro"), Type: schemaOf(f.Type, version, seen)})
		}
		return out
	}
	panic(errs.New(errs.Internal, "no schema for %s", t))
}

func mustParse(text []byte) avro.Schema {
	schema, err := avro.ParseBytesWithCache(text, "", &avro.SchemaCache{})
	if err != nil {
		panic(errs.Wrap(err, errs.Internal, "schema %s", text))
	}
	return schema
}

// RecordCodec is a codec for one record type, used on disk and inside log entries. It is
// built when first used.
type RecordCodec struct {
	schema  func() avro.Schema
	api     avro.API
	readers sync.Pool
}

// NewRecordCodec builds a codec for the type of sample, a pointer to a struct. What
// lies on disk and in logs stays as it was in version 1.
func NewRecordCodec(sample any) *RecordCodec { return newRecordCodec(sample, 1) }

// NewLatestRecordCodec builds a codec, with all fields, for records that never leave the process.
func NewLatestRecordCodec(sample any) *RecordCodec { return newRecordCodec(sample, Version) }

// NewRecordCodecAt builds a codec for records as a build of a wire version has them.
func NewRecordCodecAt(sample any, version int64) *RecordCodec { return newRecordCodec(sample, version) }

func newRecordCodec(sample any, version int64) *RecordCodec {
	api := avro.Config{MaxByteSliceSize: 1 << 30, MaxSliceAllocSize: 1 << 22}.Freeze()
	schema := sync.OnceValue(func() avro.Schema {
		text, err := json.Marshal(schemaOf(reflect.TypeOf(sample).Elem(), version, map[string]bool{}))
		if err != nil {
			panic(err)
		}
		return mustParse(text)
	})
	return &RecordCodec{schema: schema, api: api}
}

// Encode gives the record's bytes. A type that fits its schema cannot fail.
func (p *RecordCodec) Encode(value any) []byte {
	out, err := p.api.Marshal(p.schema(), value)
	if err != nil {
		panic(errs.Wrap(err, errs.Internal, "encode %T", value))
	}
	return out
}

// Decode reads the record back. The library's own Unmarshal takes a record that
// ends early for a whole one.
func (p *RecordCodec) Decode(raw []byte, value any) error {
	r, isReader := p.readers.Get().(*avro.Reader)
	if !isReader {
		r = avro.NewReader(nil, 0, avro.WithReaderConfig(p.api))
	}
	r.Reset(raw)
	r.ReadVal(p.schema(), value)
	err := r.Error
	r.Error = nil
	r.Reset(nil)
	p.readers.Put(r)
	return errs.Wrap(err, errs.Corrupt, "decode %T", value)
}
