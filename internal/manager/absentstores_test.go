package manager

import (
	"context"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"caperwheel/internal/errs"
	"caperwheel/internal/wire"
)

// TestRetireKnowsWhoWasHere guards against forgetting a store that was partitioned for so long that its
// replicas were assigned to others: its own retirement was answered as unknown, and that of another
// store was rejected because it did not count.
func TestRetireKnowsWhoWasHere(t *testing.T) {
	cases := []struct {
		name  string
		ago   time.Duration // since a fifth store was last a member, in configuration bounds
		calls []string
		kind  errs.Kind
	}{
		{"the absent store, soon after", 4, []string{"s9"}, errs.Stale},
		{"the absent store, when it is forgotten", absentStoreBounds + 1, []string{"s9"}, errs.Unknown},
		{"a second store, while the absent one may return", 4, []string{"s1", "s2"}, errs.Stale},
		{"a second store, when the absent one is forgotten", absentStoreBounds + 1, []string{"s1", "s2"}, errs.Rejected},
	}
	Convey("While a fifth store is absent, the answer is right when retiring", t, func() {
		for _, c := range cases {
			Convey(c.name, func() {
				m, _ := newFakeManager()
				m.storeHistory.bound = m.d.Bounds.ConfigApply
				four := m.d.Membership.OfKind("store")
				m.storeHistory.observe(append(four, wire.Who{Name: "s9", Kind: "store"}), m.d.Now()-c.ago*m.d.Bounds.ConfigApply)
				stabilizeStores(m)
				var err error
				for _, name := range c.calls {
					_, err = m.operators.RetireStore(context.Background(), "x", name, 0)
				}
				So(errs.KindOf(err), ShouldEqual, c.kind)
			})
		}
	})
}

// TestRetireByYoungManager guards against managers that have all started recently, know neither of an
// absent store nor of one that has just started, and reject a valid retirement.
func TestRetireByYoungManager(t *testing.T) {
	cases := []struct {
		name    string
		age     time.Duration // in configuration bounds
		isFirst bool
		calls   []string
		kind    errs.Kind
	}{
		{"one store too many, at a manager that has just started", absentStoreBounds - 1, false, []string{"s1", "s2"}, errs.Stale},
		{"the same, at a manager that has run for as long as it remembers stores", absentStoreBounds + 1, false, []string{"s1", "s2"}, errs.Rejected},
		{"the same, at a manager that started with the deployment", absentStoreBounds - 1, true, []string{"s1", "s2"}, errs.Rejected},
		{"an unknown store, at a manager that has just started", absentStoreBounds - 1, false, []string{"s9"}, errs.Stale},
		{"an unknown store, at a manager that started with the deployment", absentStoreBounds - 1, true, []string{"s9"}, errs.Unknown},
	}
	Convey("Retiring", t, func() {
		for _, c := range cases {
			Convey(c.name, func() {
				m, _ := newFakeManager()
				m.d.Settings.IsFirstStart, m.d.Started = c.isFirst, time.Now().Add(-c.age*m.d.Bounds.ConfigApply)
				stabilizeStores(m)
				for part := range int64(2) {
					m.d.View.Update([]wire.PartNews{{Part: part}}, m.d.Now())
				}
				var err error
				for _, name := range c.calls {
					_, err = m.operators.RetireStore(context.Background(), "x", name, 0)
				}
				So(errs.KindOf(err), ShouldEqual, c.kind)
			})
		}
	})
}
