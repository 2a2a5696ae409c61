// Package wire defines the messages that caperwheel's daemons exchange: the Go structs, the links that
// carry them, one Avro schema per direction and wire version of each link, and the codecs for messages and
// for records in logs, snapshots and on disk. Package transport sends what is defined here.
package wire

import (
	"encoding/json"
	"reflect"
	"strconv"
	"sync"

	"github.com/hamba/avro/v2"

	"caperwheel/internal/errs"
)

// field is one field of an Avro record in the JSON form of a schema.
type field struct {
	Name string `json:"name"`
	Type any    `json:"type"`
}

// record is an Avro record type in the JSON form of a schema.
type record struct {
	Type   string  `json:"type"`
	Name   string  `json:"name"`
	Fields []field `json:"fields"`
}

// Bounds on what one received value can make the receiver allocate: the bytes of a string or byte slice,
// and the items of a list.
const (
	sliceBytesLimit = 16 << 20
	listItemsLimit  = 1 << 17
)

// schemaOf returns the Avro schema of a Go type in a wire version. A field tagged since:"N" is left out
// before version N, so an older peer neither receives nor sends it, and a newer one reads its zero value. A
// struct type in seen was defined earlier in the same schema and is referred to by name.
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
	panic(errs.New(errs.Internal, "no Avro schema for Go type %s", t))
}

// mustParse parses a schema with a cache of its own, since versions define different types under one name.
// It panics on an invalid schema, which is a programming error.
func mustParse(text []byte) avro.Schema {
	schema, err := avro.ParseBytesWithCache(text, "", &avro.SchemaCache{})
	if err != nil {
		panic(errs.Wrap(err, errs.Internal, "parse Avro schema %s", text))
	}
	return schema
}

// RecordCodec encodes and decodes one record type, for records on disk and in log entries. Its schema is
// built when it is first used.
type RecordCodec struct {
	schema  func() avro.Schema
	api     avro.API
	readers sync.Pool
}

// NewRecordCodec returns a codec for the type of sample, a pointer to a struct. Records on disk and in logs
// keep the layout of wire version 1.
func NewRecordCodec(sample any) *RecordCodec { return newRecordCodec(sample, 1) }

// NewLatestRecordCodec returns a codec with the fields of all versions, for records that never leave the
// process.
func NewLatestRecordCodec(sample any) *RecordCodec { return newRecordCodec(sample, Version) }

// NewRecordCodecAt returns a codec for records as a build of the given wire version writes them.
func NewRecordCodecAt(sample any, version int64) *RecordCodec { return newRecordCodec(sample, version) }

// newRecordCodec returns a codec at a wire version. Its bounds are wider than those for messages from
// peers.
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

// Encode returns the record's bytes. It panics if value does not fit the schema, which is a programming
// error.
func (p *RecordCodec) Encode(value any) []byte {
	out, err := p.api.Marshal(p.schema(), value)
	if err != nil {
		panic(errs.Wrap(err, errs.Internal, "encode record %T", value))
	}
	return out
}

// Decode reads a record into value. It does not use the library's Unmarshal, which accepts a truncated
// record as a complete one.
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
	return errs.Wrap(err, errs.Corrupt, "decode record %T", value)
}
