package manager

import (
	"context"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"caperwheel/internal/config"
)

// TestMarks is the table of what stands at a zone's key after operators' calls.
func TestMarks(t *testing.T) {
	ctx := context.Background()
	whole := func(m *Manager) (int64, error) { return m.operators.DrainZone(ctx, "x", "a", false) }
	only := func(m *Manager) (int64, error) { return m.operators.DrainZone(ctx, "x", "a", true) }
	back := func(m *Manager) (int64, error) { return m.operators.RestoreZone(ctx, "x", "a") }
	var parts *fakeParts
	later := func(m *Manager) (int64, error) { // no order that was given can come again
		parts.now += (m.resendWindow + m.d.Bounds.ConfigApply).Milliseconds()
		return 0, nil
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
		{"emptied again while cold", true, calls{only, back, only}, `{"only":"workers","back_ago":1}`},
	}
	Convey("At a cell's key stands, for", t, func() {
		for _, c := range cases {
			Convey(c.name, func() {
				m, f := newFakeManager()
				parts, m.resendWindow = f, 2*m.d.Bounds.ConfigApply
				if c.hasSource {
					m.source = &Source{}
				}
				for _, call := range c.calls {
					_, err := call(m)
					So(err, ShouldBeNil)
				}
				got, isStanding := f.part(0).Get(config.ZoneKey + "a")
				So(isStanding, ShouldEqual, c.want != "")
				if isStanding {
					So(string(got.Value), ShouldEqual, c.want)
				}
			})
		}
	})
}
