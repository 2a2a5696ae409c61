package manager

import (
	"context"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"caperwheel/internal/config"
	"caperwheel/internal/errs"
	"caperwheel/internal/wire"
)

// TestOrdersWithoutNumber checks how many drains of a zone are in force after orders without request
// number, some of them retried, at any manager.
func TestOrdersWithoutNumber(t *testing.T) {
	const resend = 5 * time.Second
	const s = time.Second
	type order struct {
		verb   string        // start or finish
		after  time.Duration // time since the previous order
		isLate bool          // at a manager whose view does not show the zone's order yet
	}
	cases := []struct {
		name   string
		orders []order
		drains int // drains in force at the end
	}{
		{"one", []order{{"start", 0, false}}, 1},
		{"one, restored", []order{{"start", 0, false}, {"finish", 9 * s, false}}, 0},
		{"one, retried at once", []order{{"start", 0, false}, {"start", 0, false}, {"finish", 9 * s, false}}, 0},
		{"one, retried at a manager with a stale view", []order{{"start", 0, false}, {"start", s, true}, {"finish", 9 * s, false}}, 0},
		{"one, retried until the bound", []order{{"start", 0, false}, {"start", s, false}, {"start", s, false}, {"finish", 9 * s, false}}, 0},
		{"one, and an order after the bound, which may be a second drain", []order{{"start", 0, false}, {"start", 4 * s, false}, {"finish", 9 * s, false}}, 1},
		{"two, one restored", []order{{"start", 0, false}, {"start", 8 * s, false}, {"finish", s, false}}, 1},
		{"two, the second at a manager with a stale view", []order{{"start", 0, false}, {"start", 20 * s, true}, {"finish", s, false}}, 1},
		{"two, both restored", []order{{"start", 0, false}, {"start", 8 * s, false}, {"finish", s, false}, {"finish", 8 * s, false}}, 0},
		{"two, one restored, the restore retried as late as possible", []order{{"start", 0, false}, {"start", 8 * s, false}, {"finish", s, false},
			{"finish", 4 * s, false}}, 1},
		{"two, one restored, the restore retried at a manager with a stale view", []order{{"start", 0, false}, {"start", 8 * s, false},
			{"finish", s, false}, {"finish", 4 * s, true}}, 1},
		{"two, one restored, a third, the restore retried", []order{{"start", 0, false}, {"start", 8 * s, false}, {"finish", s, false},
			{"start", s, false}, {"finish", s, false}}, 2},
		{"one, restored, another, the restore retried", []order{{"start", 0, false}, {"finish", 9 * s, false}, {"start", s, false},
			{"finish", s, false}}, 1},
		{"one, restored, another, the restore retried twice", []order{{"start", 0, false}, {"finish", 9 * s, false}, {"start", s, false},
			{"finish", s, false}, {"finish", 2 * s, false}}, 1},
		{"one, restored, another, and its own restore", []order{{"start", 0, false}, {"finish", 9 * s, false}, {"start", s, false},
			{"finish", 8 * s, false}}, 0},
		{"one, restored, another, retried", []order{{"start", 0, false}, {"finish", 9 * s, false}, {"start", s, false},
			{"start", s, false}, {"finish", 8 * s, false}}, 0},
	}
	Convey("The drains in force are counted correctly for", t, func() {
		for _, c := range cases {
			Convey(c.name, func() {
				m, f := newFakeManager()
				m.source, m.d.Bounds.ConfigApply, m.resendWindow = &Source{}, 3*s, resend
				for _, o := range c.orders {
					f.now += o.after.Milliseconds()
					f.isViewFrozen = o.isLate
					ask := map[string]func() (int64, error){
						"start":  func() (int64, error) { return m.operators.DrainZone(context.Background(), "x", "a", true) },
						"finish": func() (int64, error) { return m.operators.RestoreZone(context.Background(), "x", "a") }}[o.verb]
					_, err := ask()
					So(err, ShouldBeNil)
				}
				last, isFound := f.part(0).Get(config.ZoneKey + "a")
				So(isFound, ShouldBeTrue)
				got := 0
				if order := config.ParseDrainOrder(last.Value); order.Only == config.OnlyWorkers {
					got = int(order.OtherDrains) + 1
				}
				So(got, ShouldEqual, c.drains)
			})
		}
	})
}

// TestOrdersWithoutNumberInTrouble checks that an order counts once if its answers from the part are
// lost or another order overtakes it.
func TestOrdersWithoutNumberInTrouble(t *testing.T) {
	ctx, key := context.Background(), config.ZoneKey+"a"
	stored := func(f *fakeParts) config.DrainOrder {
		c, isFound := f.part(0).Get(key)
		So(isFound, ShouldBeTrue)
		return config.ParseDrainOrder(c.Value)
	}
	empty := func(m *Manager) error {
		_, err := m.operators.DrainZone(ctx, "x", "a", true)
		return err
	}
	Convey("A drain", t, func() {
		m, f := newFakeManager()
		m.source, m.d.Bounds.ConfigApply, m.resendWindow = &Source{}, 3*time.Second, 5*time.Second
		So(empty(m), ShouldBeNil)
		f.now += 20_000
		Convey("whose answers are lost counts once", func() {
			f.lostReplies = 3
			So(empty(m), ShouldBeNil)
			So(stored(f).OtherDrains, ShouldEqual, 1)
		})
		Convey("whose answer is lost and which another one follows counts once", func() {
			f.beforeEdit = func(e *wire.Edit) {
				held := f.part(0).Apply(*e)
				f.part(0).Apply(wire.Edit{Key: key, Value: config.DrainOrder{Only: config.OnlyWorkers, OtherDrains: 2}.Encode(), IfRevision: held.Revision})
			}
			So(empty(m), ShouldBeNil)
			So(stored(f).OtherDrains, ShouldEqual, 2)
		})
		Convey("that another one overtakes counts in addition to it", func() {
			f.beforeEdit = func(e *wire.Edit) {
				f.part(0).Apply(wire.Edit{Key: key, Value: config.DrainOrder{Only: config.OnlyWorkers, OtherDrains: 1}.Encode(), IfRevision: e.IfRevision})
			}
			So(empty(m), ShouldBeNil)
			So(stored(f).OtherDrains, ShouldEqual, 2)
		})
		Convey("after a restore of the zone is not ended by a delayed attempt of that restore", func() {
			m.source = nil
			late := wire.Edit{}
			f.beforeEdit = func(e *wire.Edit) { late = *e }
			_, err := m.operators.RestoreZone(ctx, "x", "a")
			So(err, ShouldBeNil)
			So(empty(m), ShouldBeNil)
			So(f.part(0).Apply(late).IsRepeat, ShouldBeTrue)
			So(stored(f).Only, ShouldEqual, config.OnlyWorkers)
		})
	})
}

// TestLateOrders guards against a stalled manager that carries out a restore long after another manager
// has acknowledged it, and so ends a later drain.
func TestLateOrders(t *testing.T) {
	cases := []struct {
		name      string
		isHungUp  bool
		took      time.Duration // from the order's arrival to the read that it is based on, in resend windows
		isRefused bool
	}{
		{"that is carried out at once is applied", false, 0, false},
		{"whose caller has closed the connection is not", true, 0, true},
		{"that arrived long ago is not", false, 1, true},
	}
	for verb, order := range map[string]func(*Operators, context.Context) (int64, error){
		"start":  func(o *Operators, ctx context.Context) (int64, error) { return o.DrainZone(ctx, "x", "a", true) },
		"finish": func(o *Operators, ctx context.Context) (int64, error) { return o.RestoreZone(ctx, "x", "a") },
	} {
		Convey("A "+verb, t, func() {
			for _, c := range cases {
				Convey(c.name, func() {
					m, f := newFakeManager()
					m.source, m.resendWindow = &Source{}, 5*time.Second
					if verb == "finish" {
						_, err := m.operators.DrainZone(context.Background(), "x", "a", true)
						So(err, ShouldBeNil)
						f.now += 20000
					}
					was, _ := f.part(0).Get(config.ZoneKey + "a")
					ctx, hangUp := context.WithCancel(context.Background())
					defer hangUp()
					f.duringPull = func() { // while the read is in flight
						if c.isHungUp {
							hangUp()
						}
						m.d.Started = m.d.Started.Add(-c.took * m.resendWindow)
					}
					_, err := order(m.operators, ctx)
					is, _ := f.part(0).Get(config.ZoneKey + "a")
					So(is.Revision == was.Revision, ShouldEqual, c.isRefused)
					if c.isRefused {
						So(errs.KindOf(err), ShouldEqual, errs.Stale)
					} else {
						So(err, ShouldBeNil)
					}
				})
			}
		})
	}
}
