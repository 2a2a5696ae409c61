package wire

import (
	"encoding/json"
	"reflect"
	"sync"

	"github.com/hamba/avro/v2"

	"caperwheel/internal/errs"
)

// Codec encodes and decodes the messages of one direction of a link in one wire version.
//
// Invariants: fields are written in the order in which the Go type declares them; the only metadata on the
// wire is the branch index of the union. The bytes of an item are those of Schema, a record of a number and
// a union, but branches are encoded one by one, because the library resolves a union again for every item.
type Codec struct {
	Schema        avro.Schema
	api           avro.API
	writers       sync.Pool
	readers       sync.Pool
	branches      []branch
	branchIndexes map[reflect.Type]int64 // union branch by the type of a body, a pointer
}

// branch is one message type of a direction.
type branch struct {
	schema avro.Schema
	goType reflect.Type // a struct type; bodies are pointers to it
}

// Item is one message on a link. CorrelationId matches a reply to its request; 0 means that no reply is
// expected.
type Item struct {
	CorrelationId int64 `avro:"corr"`
	Body          any   `avro:"body"`
}

// newCodec builds the schema and codec of a direction from the message types that it carries.
func newCodec(name string, version int64, kinds []any) *Codec {
	api := avro.Config{MaxByteSliceSize: sliceBytesLimit, MaxSliceAllocSize: listItemsLimit}.Freeze()
	seen := map[string]bool{}
	union := []any{}
	for _, kind := range kinds {
		t := reflect.TypeOf(kind).Elem()
		api.Register(t.Name(), kind)
		union = append(union, schemaOf(t, version, seen))
	}
	text, err := json.Marshal(record{Type: "record", Name: name, Fields: []field{
		{Name: "corr", Type: "long"}, {Name: "body", Type: union},
	}})
	if err != nil {
		panic(err)
	}
	c := &Codec{Schema: mustParse(text), api: api, branchIndexes: map[reflect.Type]int64{}}
	for i, schema := range c.Schema.(*avro.RecordSchema).Fields()[1].Type().(*avro.UnionSchema).Types() {
		if known, isReference := schema.(*avro.RefSchema); isReference {
			schema = known.Schema()
		}
		c.branches = append(c.branches, branch{schema, reflect.TypeOf(kinds[i]).Elem()})
		c.branchIndexes[reflect.TypeOf(kinds[i])] = int64(i)
	}
	return c
}

// NewWriter returns an Avro writer with a buffer of size bytes, configured for this codec.
func (c *Codec) NewWriter(size int) *avro.Writer {
	return avro.NewWriter(nil, size, avro.WithWriterConfig(c.api))
}

// AcquireWriter returns an empty writer from the pool. The caller gives it back with ReleaseWriter.
func (c *Codec) AcquireWriter() *avro.Writer {
	w, isKept := c.writers.Get().(*avro.Writer)
	if !isKept {
		return c.NewWriter(512)
	}
	w.Reset(nil)
	w.Error = nil
	return w
}

// ReleaseWriter puts a writer back into the pool. The caller must have copied the writer's bytes.
func (c *Codec) ReleaseWriter(w *avro.Writer) { c.writers.Put(w) }

// Supports reports whether the direction carries messages of the body's type.
func (c *Codec) Supports(body any) bool {
	_, isCarried := c.branchIndexes[reflect.TypeOf(body)]
	return isCarried
}

// Append encodes one item after the bytes that the writer already holds.
func (c *Codec) Append(w *avro.Writer, item Item) error {
	number, isCarried := c.branchIndexes[reflect.TypeOf(item.Body)]
	if !isCarried {
		return errs.New(errs.Internal, "encode %T: the link does not carry messages of this type", item.Body)
	}
	w.WriteLong(item.CorrelationId)
	w.WriteLong(number)
	w.WriteVal(c.branches[number].schema, item.Body)
	return errs.Wrap(w.Error, errs.Internal, "encode message %T", item.Body)
}

// Decode reads count items from one received byte array.
func (c *Codec) Decode(raw []byte, count int) ([]Item, error) {
	r, isReader := c.readers.Get().(*avro.Reader)
	if !isReader {
		r = avro.NewReader(nil, 0, avro.WithReaderConfig(c.api))
	}
	r.Reset(raw)
	defer func() {
		r.Error = nil
		r.Reset(nil)
		c.readers.Put(r)
	}()
	out := make([]Item, 0, min(count, len(raw)))
	for range count {
		item, err := c.decodeItem(r)
		if err != nil {
			return nil, errs.Wrap(err, errs.Corrupt, "decode item %d of %d", len(out), count)
		}
		out = append(out, item)
	}
	return out, nil
}

// decodeItem reads one item.
func (c *Codec) decodeItem(r *avro.Reader) (Item, error) {
	item := Item{CorrelationId: r.ReadLong()}
	number := r.ReadLong()
	if r.Error == nil && (number < 0 || number >= int64(len(c.branches))) {
		return item, errs.New(errs.Corrupt, "unknown message type: no union branch %d", number)
	}
	if r.Error != nil {
		return item, r.Error
	}
	body := reflect.New(c.branches[number].goType).Interface()
	r.ReadVal(c.branches[number].schema, body)
	item.Body = body
	return item, r.Error
}
