package manager

import (
	"context"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"caperwheel/internal/config"
)

// TestMarks checks the value of a zone's key after operators' calls.
func TestMarks(t *testing.T) {
	ctx := context.Background()
	drainZone := func(m *Manager) (int64, error) { return m.operators.DrainZone(ctx, "x", "a", false) }
	drainWorkers := func(m *Manager) (int64, error) { return m.operators.DrainZone(ctx, "x", "a", true) }
	restore := func(m *Manager) (int64, error) { return m.operators.RestoreZone(ctx, "x", "a") }
	var parts *fakeParts
	later := func(m *Manager) (int64, error) { // no earlier order can be retried any more
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
		{"a drained zone", false, calls{drainZone}, `{}`},
		{"a drain of its workers only", false, calls{drainWorkers}, `{"only":"workers"}`},
		{"a drained zone whose workers are drained stays drained as a whole", false, calls{drainZone, drainWorkers}, `{}`},
		{"a drain of the workers, then of the whole zone", false, calls{drainWorkers, drainZone}, `{}`},
		{"restored without a source", false, calls{drainWorkers, restore}, ""},
		{"restored with a source: cold at first", true, calls{drainWorkers, restore}, `{"only":"cold"}`},
		{"restored twice", true, calls{drainWorkers, restore, restore}, `{"only":"cold"}`},
		{"restored without a drain", true, calls{restore}, ""},
		{"a drain that is repeated at once: a retry", true, calls{drainWorkers, drainWorkers, restore}, `{"only":"cold"}`},
		{"two drains, one restored", true, calls{drainWorkers, later, drainWorkers, restore}, `{"only":"workers","back":true}`},
		{"two drains, one restored with a retry", true, calls{drainWorkers, later, drainWorkers, restore, restore}, `{"only":"workers","back":true}`},
		{"two drains, both restored", true, calls{drainWorkers, later, drainWorkers, restore, later, restore}, `{"only":"cold"}`},
		{"a third drain while the first is restored", true, calls{drainWorkers, later, drainWorkers, restore, drainWorkers, later, restore}, `{"only":"workers","back":true}`},
		{"drained again while cold", true, calls{drainWorkers, restore, drainWorkers}, `{"only":"workers","back_ago":1}`},
	}
	Convey("The zone's key has the expected value after", t, func() {
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
				got, isFound := f.part(0).Get(config.ZoneKey + "a")
				So(isFound, ShouldEqual, c.want != "")
				if isFound {
					So(string(got.Value), ShouldEqual, c.want)
				}
			})
		}
	})
}
