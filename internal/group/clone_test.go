package group

import (
	"reflect"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// immutableFields lists the fields that copies may share, as they are never modified.
var immutableFields = map[string]bool{"opts": true, "Data": true, "members": true}

// shared returns the paths of the maps, slices and pointers that two values have in common.
func shared(a, b reflect.Value, path string) (out []string) {
	switch a.Kind() {
	case reflect.Map, reflect.Slice, reflect.Pointer:
		isEmpty := a.IsNil() || a.Kind() != reflect.Pointer && a.Len() == 0
		if isEmpty {
			return nil
		}
		if a.Pointer() == b.Pointer() {
			return []string{path}
		}
	}
	switch a.Kind() {
	case reflect.Pointer:
		return shared(a.Elem(), b.Elem(), path)
	case reflect.Map:
		for _, key := range a.MapKeys() {
			out = append(out, shared(a.MapIndex(key), b.MapIndex(key), path+"."+key.String())...)
		}
	case reflect.Slice:
		for i := range a.Len() {
			out = append(out, shared(a.Index(i), b.Index(i), path)...)
		}
	case reflect.Struct:
		for i := range a.NumField() {
			if name := a.Type().Field(i).Name; !immutableFields[name] {
				out = append(out, shared(a.Field(i), b.Field(i), path+"."+name)...)
			}
		}
	}
	return out
}

// TestClone guards against fields that are added to Group and not copied by Clone: two states of a search would then
// modify each other.
func TestClone(t *testing.T) {
	Convey("Given an owner with a value in every field", t, func() {
		g := ownerWithAck(1)
		g.newIncarnations["x"] = "x/1"
		g.Tick(time.Second / 10)
		Convey("its copy has the same canonical state and shares nothing mutable", func() {
			c := g.Clone()
			keep := func(m string) string { return m }
			So(c.Canonical(nil, 0, keep), ShouldResemble, g.Canonical(nil, 0, keep))
			So(shared(reflect.ValueOf(g).Elem(), reflect.ValueOf(c).Elem(), ""), ShouldBeEmpty)
		})
	})
}
