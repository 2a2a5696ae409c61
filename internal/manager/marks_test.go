package manager

import (
	"context"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"caperwheel/internal/charter"
)

// TestMarks is the table of what stands at a cell's key after operators' calls.
func TestMarks(t *testing.T) {
	ctx := context.Background()
	whole := func(m *Manager) (int64, error) { return m.operators.Empty(ctx, "x", "a", false) }
	only := func(m *Manager) (int64, error) { return m.operators.Empty(ctx, "x", "a", true) }
	back := func(m *Manager) (int64, error) { return m.operators.Restore(ctx, "x", "a") }
	later := func(m *Manager) (int64, error) { // the mark that stands has been seen for long
		c, err := m.pull(ctx, 0, charter.CellKey+"a")
		m.ages.seen = map[string]seenMark{c.Key: {c.Stamp, m.d.Now() - 2*m.d.Bounds.Charter}}
		return 0, err
	}
	type calls = []func(*Manager) (int64, error)
	cases := []struct {
		name      string
		hasSource bool
		calls     calls
		want      string // "" for none
	}{
		{"an emptied cell", false, calls{whole}, `{}`},
		{"only its workers", false, calls{only}, `{"only":"workers"}`},
		{"a whole cell stays whole", false, calls{whole, only}, `{}`},
		{"workers, then the whole cell", false, calls{only, whole}, `{}`},
		{"restored without a source", false, calls{only, back}, ""},
		{"restored with a source: cold at first", true, calls{only, back}, `{"only":"cold"}`},
		{"restored twice", true, calls{only, back, back}, `{"only":"cold"}`},
		{"restored without a mark", true, calls{back}, ""},
		{"asked for again at once: the same order", true, calls{only, only, back}, `{"only":"cold"}`},
		{"two emptyings, one taken back", true, calls{only, later, only, back}, `{"only":"workers","back":true}`},
		{"two emptyings, one taken back in two words", true, calls{only, later, only, back, back}, `{"only":"workers","back":true}`},
		{"two emptyings, both taken back", true, calls{only, later, only, back, later, back}, `{"only":"cold"}`},
		{"a third while the first is taken back", true, calls{only, later, only, back, only, later, back}, `{"only":"workers","back":true}`},
		{"emptied again while cold", true, calls{only, back, only}, `{"only":"workers"}`},
	}
	Convey("At a cell's key stands, for", t, func() {
		for _, c := range cases {
			Convey(c.name, func() {
				m, f := newFake()
				if c.hasSource {
					m.source = &Source{}
				}
				for _, call := range c.calls {
					_, err := call(m)
					So(err, ShouldBeNil)
				}
				got, isStanding := f.part(0).Get(charter.CellKey + "a")
				So(isStanding, ShouldEqual, c.want != "")
				if isStanding {
					So(string(got.Value), ShouldEqual, c.want)
				}
			})
		}
	})
}
