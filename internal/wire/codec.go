package wire

import (
	"encoding/json"
	"reflect"
	"sync"

	"github.com/hamba/avro/v2"

	"caperwheel/internal/errs"
)

// Codec turns items of one direction of one link kind into bytes and back.
// Invariants: fields are written in the order in which the Go type declares
// them; no metadata travels but the branch index of the union. An item's bytes are
// those of Schema, a record of a number and a union, though its branches are written
// and read one by one: the library looks at a union anew for each item.
type Codec struct {
	Schema        avro.Schema
	api           avro.API
	writers       sync.Pool
	readers       sync.Pool
	branches      []branch
	branchIndexes map[reflect.Type]int64 // of the branches, by the type of a body
}

// branch is one type that a direction carries.
type branch struct {
	schema avro.Schema
	goType reflect.Type // a struct; bodies are pointers to it
}

// Item is one message with the number that joins an ask and its reply.
type Item struct {
	CorrelationId int64 `avro:"corr"`
	Body          any   `avro:"body"`
}

// newCodec builds the schema of a direction from the types it may carry.
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

// NewWriter gives a reusable avro writer of this codec.
func (c *Codec) NewWriter(size int) *avro.Writer {
	return avro.NewWriter(nil, size, avro.WithWriterConfig(c.api))
}

// AcquireWriter gives an empty writer that was used before, and Give takes it back.
func (c *Codec) AcquireWriter() *avro.Writer {
	w, isKept := c.writers.Get().(*avro.Writer)
	if !isKept {
		return c.NewWriter(512)
	}
	w.Reset(nil)
	w.Error = nil
	return w
}

// ReleaseWriter takes a writer back; its bytes must have been copied.
func (c *Codec) ReleaseWriter(w *avro.Writer) { c.writers.Put(w) }

// Supports reports whether the direction has a body's kind of message.
func (c *Codec) Supports(body any) bool {
	_, isCarried := c.branchIndexes[reflect.TypeOf(body)]
	return isCarried
}

// Append writes one item behind what the writer holds.
func (c *Codec) Append(w *avro.Writer, item Item) error {
	number, isCarried := c.branchIndexes[reflect.TypeOf(item.Body)]
	if !isCarried {
		return errs.New(errs.Internal, "encode %T: this link does not carry it", item.Body)
	}
	w.WriteLong(item.CorrelationId)
	w.WriteLong(number)
	w.WriteVal(c.branches[number].schema, item.Body)
	return errs.Wrap(w.Error, errs.Internal, "encode %T", item.Body)
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
			return nil, errs.Wrap(err, errs.Corrupt, "parse item %d of %d", len(out), count)
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
		return item, errs.New(errs.Corrupt, "there is no body number %d", number)
	}
	if r.Error != nil {
		return item, r.Error
	}
	body := reflect.New(c.branches[number].goType).Interface()
	r.ReadVal(c.branches[number].schema, body)
	item.Body = body
	return item, r.Error
}
