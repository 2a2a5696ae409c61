package manager

import (
	"context"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"caperwheel/internal/errs"
	"caperwheel/internal/wire"
)

// TestRetireKnowsWhoWasHere: a store that was cut off for so long that its seats
// were given away once counted for nothing: its own retirement was unknown, and
// another one was rejected for want of it.
func TestRetireKnowsWhoWasHere(t *testing.T) {
	cases := []struct {
		name  string
		ago   time.Duration // since a fifth store was last here, in bounds
		calls []string
		kind  errs.Kind
	}{
		{"its own, soon", 4, []string{"s9"}, errs.Stale},
		{"its own, when it is forgotten", absentStoreBounds + 1, []string{"s9"}, errs.Unknown},
		{"a second one, while it may come back", 4, []string{"s1", "s2"}, errs.Stale},
		{"a second one, when it is forgotten", absentStoreBounds + 1, []string{"s1", "s2"}, errs.Rejected},
	}
	Convey("Where a fifth store is away, retiring", t, func() {
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

// TestRetireByYoungManager: managers that had all begun lately knew neither of a store
// that was away nor of one that had just started, and rejected a proper retirement.
func TestRetireByYoungManager(t *testing.T) {
	cases := []struct {
		name    string
		age     time.Duration // in bounds
		isFirst bool
		calls   []string
		kind    errs.Kind
	}{
		{"one store too many, by one that has just begun", absentStoreBounds - 1, false, []string{"s1", "s2"}, errs.Stale},
		{"the same, by one that knows all that are remembered", absentStoreBounds + 1, false, []string{"s1", "s2"}, errs.Rejected},
		{"the same, by one that began with the deployment", absentStoreBounds - 1, true, []string{"s1", "s2"}, errs.Rejected},
		{"a store that it has not heard of, by one that has just begun", absentStoreBounds - 1, false, []string{"s9"}, errs.Stale},
		{"that one, by a manager that began with the deployment", absentStoreBounds - 1, true, []string{"s9"}, errs.Unknown},
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
