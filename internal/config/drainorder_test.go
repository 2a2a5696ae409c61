package config

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"caperwheel/internal/feed"
	"caperwheel/internal/wire"
)

// TestMark checks what a zone's drain order means for its workers and daemons.
func TestMark(t *testing.T) {
	cases := []struct {
		order                     string // empty for none
		canServe, mayWork, isCold bool
	}{
		{``, true, true, false},
		{`{}`, false, false, false},
		{`{"only":"workers"}`, false, true, false},
		{`{"only":"cold"}`, true, true, true},
		{`{"only":"of a newer build"}`, false, false, false},
		{`?`, false, false, false},
	}
	Convey("With the drain order", t, func() {
		for _, c := range cases {
			Convey(c.order+" for its zone", func() {
				view := feed.NewView(1)
				list := Workers{Workers: []Worker{{Name: "w", Address: "127.0.0.1:1", Zone: "a", State: "live"}}}
				view.Update([]wire.PartNews{{Part: 1, To: 1, Changes: []wire.Change{{Key: WorkersKey + "p", Revision: 1, Value: list.Encode()}}}}, 0)
				if c.order != "" {
					view.Update([]wire.PartNews{{To: 1, Changes: []wire.Change{{Key: ZoneKey + "a", Revision: 1, Value: []byte(c.order)}}}}, 0)
				}
				compiled := (&Cache{View: view}).Current()
				w, canServe := compiled.CanServe("p", "w")
				So([]bool{canServe, compiled.MayStartWork("a"), w.IsCold}, ShouldResemble, []bool{c.canServe, c.mayWork, c.isCold})
			})
		}
	})
}

// TestEdits checks that the edits that an older build lists in the document can be read, and that it is
// known when older ones may be missing.
func TestEdits(t *testing.T) {
	Convey("The edits of a document of an older build can be read", t, func() {
		doc := []byte(`{"origin":{"x":[1.50,2.0]},"edits":["4","5","19"]}`)
		So([]bool{HasEdit(doc, "3"), HasEdit(doc, "4"), HasEdit(doc, "19"), HasEdit(doc, "")}, ShouldResemble, []bool{false, true, true, false})
		So(EditsOf(doc), ShouldResemble, []string{"4", "5", "19"})
		So(MayHaveForgotten(doc), ShouldBeFalse)
		So(MayHaveForgotten([]byte(`{"edits":["1","2","3","4","5","6","7","8","9","10","11","12","13","14","15","16"]}`)), ShouldBeTrue)
		So(EditsOf([]byte(`{}`)), ShouldBeEmpty)
		_, faults := Compile(doc)
		So(faults, ShouldBeEmpty)
	})
}
