package manager

import (
	"context"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"caperwheel/internal/config"
	"caperwheel/internal/errs"
	"caperwheel/internal/wire"
)

// stabilizeStores makes a manager see an unchanged set of stores for the configuration bound.
func stabilizeStores(m *Manager) {
	m.storeHistory.observe(m.d.Membership.OfKind("store"), m.d.Now()-m.d.Bounds.ConfigApply)
}

// TestRetire checks which stores may be retired. newFakeManager has s1 to s4.
func TestRetire(t *testing.T) {
	another := func(name string) func(*fakeParts) { // another manager admits a retirement at the same time
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
		{"two of four, for three replicas", nil, true, []string{"s1", "s2"}, errs.Rejected},
		{"two of four at two managers at once", another("s2"), true, []string{"s1"}, errs.Rejected},
		{"the same at two managers at once", another("s1"), true, []string{"s1"}, ""},
		{"one that does not exist", nil, true, []string{"s9"}, errs.Unknown},
		{"one that is absent, but holds groups", func(f *fakeParts) { f.groups, f.holders = 1, []string{"s1", "s2", "s9"} }, true, []string{"s9"}, ""},
		{"two, while a fifth store is absent", func(f *fakeParts) { f.groups, f.holders = 1, []string{"s1", "s2", "s9"} }, true, []string{"s3", "s4"}, errs.Stale},
		{"too many, at a manager that has just seen the set of stores change", nil, false, []string{"s1", "s2"}, errs.Stale},
	}
	Convey("The answer is right when retiring", t, func() {
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
		Convey("one and restoring it, which leaves room for another", func() {
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

// TestRetirement checks when a retirement is done. It guards against an answer from stale hints: the
// stores that happened to be members, and the largest roster that any of them had last reported.
func TestRetirement(t *testing.T) {
	whole := func(f *fakeParts) {
		f.groups, f.holders, f.retired.IsKnown = 3, []string{"s1", "s2", "s3"}, true
	}
	cases := []struct {
		name   string
		change func(*fakeParts)
		isLate bool // the retirement has been in force for the configuration bound
		isDone bool
	}{
		{"every group has complete replicas on other stores", func(*fakeParts) {}, true, true},
		{"not every daemon may know of the retirement yet", func(*fakeParts) {}, false, false},
		{"a group has no confirmed owner", func(f *fakeParts) { f.groups-- }, true, false},
		{"a group still has a replica on it", func(f *fakeParts) { f.holders = []string{"s1", "s2", "s3", "s4"} }, true, false},
		{"a group lacks a complete replica", func(f *fakeParts) { f.holders = []string{"s1", "s2"} }, true, false},
		{"an owner does not know of the retirement", func(f *fakeParts) { f.retired.IsKnown = false }, true, false},
	}
	Convey("The progress of a store's retirement is right when", t, func() {
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
	Convey("Of two reports on one group, the one with the newer term counts", t, func() {
		s := retirementReports{map[int64]wire.Standing{}, true}
		s.add(&wire.Retired{IsKnown: true, Groups: []wire.Standing{{Group: 1, Term: 5, UpToDateStores: 2}}})
		s.add(&wire.Retired{IsKnown: true, Groups: []wire.Standing{{Group: 1, Term: 4, UpToDateStores: 3}}})
		So(s.minWholeCopies(), ShouldEqual, 2)
	})
}
