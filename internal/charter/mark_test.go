package charter

import (
	"strconv"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"caperwheel/internal/feed"
	"caperwheel/internal/wire"
)

// TestMark is the table of what a cell's mark says of its workers and daemons.
func TestMark(t *testing.T) {
	cases := []struct {
		mark                      string // empty for none
		canServe, mayWork, isCold bool
	}{
		{``, true, true, false},
		{`{}`, false, false, false},
		{`{"only":"workers"}`, false, true, false},
		{`{"only":"cold"}`, true, true, true},
		{`{"only":"of a newer build"}`, false, false, false},
		{`?`, false, false, false},
	}
	Convey("With the mark", t, func() {
		for _, c := range cases {
			Convey(c.mark+" at its cell", func() {
				view := feed.NewView(1)
				list := Workers{Workers: []Worker{{Name: "w", Address: "127.0.0.1:1", Cell: "a", State: "live"}}}
				view.Take([]wire.PartNews{{Part: 1, To: 1, Changes: []wire.Change{{Key: WorkersKey + "p", Stamp: 1, Value: list.Encode()}}}}, 0)
				if c.mark != "" {
					view.Take([]wire.PartNews{{To: 1, Changes: []wire.Change{{Key: CellKey + "a", Stamp: 1, Value: []byte(c.mark)}}}}, 0)
				}
				scene := (&Scenes{View: view}).Now()
				w, canServe := scene.CanServe("p", "w")
				So([]bool{canServe, scene.MayWork("a"), w.IsCold}, ShouldResemble, []bool{c.canServe, c.mayWork, c.isCold})
			})
		}
	})
}

// TestEdits: a charter remembers the last edits, and nothing else of it changes.
func TestEdits(t *testing.T) {
	Convey("Of twenty edits the last sixteen are remembered", t, func() {
		doc := []byte(`{"origin":{"x":[1.50,2.0]}}`)
		for i := range 20 {
			next, err := WithEdit([]byte(`{"origin":{"x":[1.50,2.0]}}`), doc, strconv.Itoa(i))
			So(err, ShouldBeNil)
			doc = next
		}
		So([]bool{HasEdit(doc, "3"), HasEdit(doc, "4"), HasEdit(doc, "19"), HasEdit(doc, "")}, ShouldResemble, []bool{false, true, true, false})
		So(string(doc), ShouldContainSubstring, `"origin":{"x":[1.50,2.0]}`)
		_, faults := Compile(doc)
		So(faults, ShouldBeEmpty)
	})
}
