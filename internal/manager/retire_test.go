package manager

import (
	"context"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"caperwheel/internal/config"
	"caperwheel/internal/errs"
	"caperwheel/internal/wire"
)

// stabilizeStores has a manager see the same stores for a bound.
func stabilizeStores(m *Manager) {
	m.storeHistory.observe(m.d.Membership.OfKind("store"), m.d.Now()-m.d.Bounds.ConfigApply)
}

// TestRetire is the table of which stores may be retired. newFakeManager has s1 to s4.
func TestRetire(t *testing.T) {
	another := func(name string) func(*fakeParts) { // another manager admits one at the same time
		return func(f *fakeParts) {
			f.beforeEdit = func(*wire.Edit) {
				f.part(0).Apply(wire.Edit{Key: config.RetirementsKey, Value: config.Retirements{Stores: []string{name}}.Encode(), IfRevision: -1})
			}
		}
	}
	cases := []struct {
		name      string
		given     func(*fakeParts)
		isSettled bool
		calls     []string
		kind      errs.Kind
	}{
		{"one of four", nil, true, []string{"s1"}, ""},
		{"the same again", nil, true, []string{"s1", "s1"}, ""},
		{"two of four, for three copies", nil, true, []string{"s1", "s2"}, errs.Rejected},
		{"two of four at two managers at once", another("s2"), true, []string{"s1"}, errs.Rejected},
		{"the same at two managers at once", another("s1"), true, []string{"s1"}, ""},
		{"one that is not here", nil, true, []string{"s9"}, errs.Unknown},
		{"one that is away, but holds groups", func(f *fakeParts) { f.groups, f.holders = 1, []string{"s1", "s2", "s9"} }, true, []string{"s9"}, ""},
		{"two, while a fifth store is away", func(f *fakeParts) { f.groups, f.holders = 1, []string{"s1", "s2", "s9"} }, true, []string{"s3", "s4"}, errs.Stale},
		{"too many, by a manager that has just seen stores come or go", nil, false, []string{"s1", "s2"}, errs.Stale},
	}
	Convey("Retiring", t, func() {
		for _, c := range cases {
			Convey(c.name, func() {
				m, f := newFakeManager()
				if c.isSettled {
					stabilizeStores(m)
				}
				if c.given != nil {
					c.given(f)
				}
				var err error
				for _, name := range c.calls {
					_, err = m.operators.RetireStore(context.Background(), "x", name, 0)
				}
				if c.kind == "" {
					So(err, ShouldBeNil)
					_, isMarked := f.part(0).Get(config.StoreKey + c.calls[0])
					So(isMarked, ShouldBeTrue)
					return
				}
				So(errs.KindOf(err), ShouldEqual, c.kind)
			})
		}
		Convey("and taking it back leaves room for another", func() {
			m, f := newFakeManager()
			stabilizeStores(m)
			for _, call := range []func(context.Context, string, string) (int64, error){
				func(ctx context.Context, by, name string) (int64, error) {
					return m.operators.RetireStore(ctx, by, name, 0)
				}, m.operators.RestoreStore} {
				_, err := call(context.Background(), "x", "s1")
				So(err, ShouldBeNil)
			}
			_, isMarked := f.part(0).Get(config.StoreKey + "s1")
			So(isMarked, ShouldBeFalse)
			_, err := m.operators.RetireStore(context.Background(), "x", "s2", 0)
			So(err, ShouldBeNil)
		})
	})
}

// TestRetirement is the table of when a store may be taken away. It was once told
// from hints: from the stores that happened to be here, and from the largest roster
// that any of them had last spoken of.
func TestRetirement(t *testing.T) {
	whole := func(f *fakeParts) {
		f.groups, f.holders, f.retired.IsKnown = 3, []string{"s1", "s2", "s3"}, true
	}
	cases := []struct {
		name   string
		change func(*fakeParts)
		isLate bool // the retirement has stood for a bound
		isDone bool
	}{
		{"every group stands whole on others", func(*fakeParts) {}, true, true},
		{"the retirement may not be known everywhere yet", func(*fakeParts) {}, false, false},
		{"a group has no confirmed owner", func(f *fakeParts) { f.groups-- }, true, false},
		{"a group still stands on it", func(f *fakeParts) { f.holders = []string{"s1", "s2", "s3", "s4"} }, true, false},
		{"a group lacks a whole copy", func(f *fakeParts) { f.holders = []string{"s1", "s2"} }, true, false},
		{"an owner does not know of the retirement", func(f *fakeParts) { f.retired.IsKnown = false }, true, false},
	}
	Convey("A store's retirement, where", t, func() {
		for _, c := range cases {
			Convey(c.name, func() {
				m, f := newFakeManager()
				stabilizeStores(m)
				whole(f)
				m.d.Settings.Places = 1
				_, err := m.operators.RetireStore(context.Background(), "x", "s4", 0)
				So(err, ShouldBeNil)
				c.change(f)
				if c.isLate {
					f.now += m.d.Bounds.ConfigApply.Milliseconds()
				}
				got, err := m.operators.RetirementProgress(context.Background(), "s4")
				So(err, ShouldBeNil)
				So(got.IsRetired, ShouldBeTrue)
				So(got.IsDone, ShouldEqual, c.isDone)
			})
		}
	})
	Convey("Of two words about one group that of the newer term counts", t, func() {
		s := retirementReports{map[int64]wire.Standing{}, true}
		s.add(&wire.Retired{IsKnown: true, Groups: []wire.Standing{{Group: 1, Term: 5, UpToDateStores: 2}}})
		s.add(&wire.Retired{IsKnown: true, Groups: []wire.Standing{{Group: 1, Term: 4, UpToDateStores: 3}}})
		So(s.minWholeCopies(), ShouldEqual, 2)
	})
}
