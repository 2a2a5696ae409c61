package wire

import (
	"bytes"
	"maps"
	"reflect"
	"slices"
	"testing"

	"github.com/hamba/avro/v2"
	. "github.com/smartystreets/goconvey/convey"

	"caperwheel/internal/errs"
)

// fillValue sets every field of a body, so that each field contributes bytes of its own.
func fillValue(v reflect.Value) {
	switch v.Kind() {
	case reflect.String:
		v.SetString("text")
	case reflect.Bool:
		v.SetBool(true)
	case reflect.Int32, reflect.Int64, reflect.Int:
		v.SetInt(1234)
	case reflect.Float64:
		v.SetFloat(0.5)
	case reflect.Slice:
		v.Set(reflect.MakeSlice(v.Type(), 2, 2))
		for i := range v.Len() {
			if v.Index(i).Kind() == reflect.Uint8 {
				v.Index(i).SetUint(7)
				continue
			}
			fillValue(v.Index(i))
		}
	case reflect.Map:
		v.Set(reflect.MakeMap(v.Type()))
		value := reflect.New(v.Type().Elem()).Elem()
		fillValue(value)
		v.SetMapIndex(reflect.ValueOf("key"), value)
	case reflect.Struct:
		for i := range v.NumField() {
			fillValue(v.Field(i))
		}
	}
}

// TestCodecWritesItsSchema guards against a codec whose bytes differ from those that the Avro library
// writes and reads for the schema of the direction.
func TestCodecWritesItsSchema(t *testing.T) {
	Convey("For each version, link, direction and body,", t, func() {
		bodies := 0
		for version := OldestVersion; version <= Version; version++ {
			for _, name := range slices.Sorted(maps.Keys(Links)) {
				requests, replies := Links[name].Codecs(version)
				for _, c := range []*Codec{requests, replies} {
					for _, b := range c.branches {
						body := reflect.New(b.goType)
						fillValue(body.Elem())
						item := Item{CorrelationId: 99, Body: body.Interface()}
						library := avro.NewWriter(nil, 64, avro.WithWriterConfig(c.api))
						library.WriteVal(c.Schema, item)
						So(library.Error, ShouldBeNil)
						ours := c.NewWriter(64)
						So(c.Append(ours, item), ShouldBeNil)
						So(bytes.Equal(ours.Buffer(), library.Buffer()), ShouldBeTrue)

						var wanted Item
						reader := avro.NewReader(nil, 0, avro.WithReaderConfig(c.api)).Reset(bytes.Clone(library.Buffer()))
						reader.ReadVal(c.Schema, &wanted)
						So(reader.Error, ShouldBeNil)
						got, err := c.Decode(library.Buffer(), 1)
						So(err, ShouldBeNil)
						So(got, ShouldResemble, []Item{wanted})
						bodies++
					}
				}
			}
		}
		So(bodies, ShouldBeGreaterThan, 60)
	})
	Convey("A body that the link does not carry is rejected, and so is an unknown or truncated union branch", t, func() {
		requests, _ := RunLink.Codecs(Version)
		w := requests.NewWriter(64)
		So(errs.Is(requests.Append(w, Item{Body: &Share{}}), errs.Internal), ShouldBeTrue)
		for _, raw := range [][]byte{{2, 1}, {2, 100}, {2}, {}} { // branch -1, branch 50, truncated
			_, err := requests.Decode(raw, 1)
			So(errs.Is(err, errs.Corrupt), ShouldBeTrue)
		}
	})
}
