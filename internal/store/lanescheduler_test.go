package store

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"caperwheel/internal/config"
	"caperwheel/internal/daemon"
	"caperwheel/internal/errs"
	"caperwheel/internal/feed"
	"caperwheel/internal/session"
	"caperwheel/internal/timing"
	"caperwheel/internal/wire"
)

// TestLaneTurns guards against a lane that a configuration change adds taking every slot of its pool, until it has had
// as many as the others have had since the store started.
func TestLaneTurns(t *testing.T) {
	rules, faults := config.Compile([]byte(`{"pools":{"p":{},"q":{}},"lanes":{"a":{"pools":["p"],"urgency":2},"b":{"pools":["p"],"urgency":1},"c":{"pools":["p"],"urgency":1},"z":{"pools":["q"]}}}`))
	if len(faults) > 0 {
		t.Fatal(faults)
	}
	share := func(turns *laneScheduler, count int, lanes ...string) map[string]int {
		ready, got := map[string]int{}, map[string]int{}
		for _, lane := range lanes {
			ready[lane] = 10
		}
		for range count {
			turns.startRound(rules)
			got[turns.pick("p", ready, rules)]++
			for range 50 { // the lanes of another pool get many more slots
				turns.pick("q", map[string]int{"z": 100}, rules)
			}
		}
		return got
	}
	Convey("Slots of a pool are shared by urgency", t, func() {
		turns := newLaneScheduler()
		So(share(&turns, 300, "a", "b", "c"), ShouldResemble, map[string]int{"a": 150, "b": 75, "c": 75})
		Convey("also with a lane that is new or was idle", func() {
			turns := newLaneScheduler()
			share(&turns, 3000, "a", "b")
			got := share(&turns, 300, "a", "b", "c")
			So(got["a"], ShouldBeBetween, 145, 155)
			So(got["b"], ShouldBeBetween, 70, 80)
		})
		Convey("and none goes to a lane without ready messages", func() {
			turns := newLaneScheduler()
			So(turns.pick("p", map[string]int{"b": 1}, rules), ShouldEqual, "b")
			So(turns.pick("p", map[string]int{"b": 1}, rules), ShouldBeEmpty)
		})
	})
}

// newDrawDispatcher returns the dispatcher of a store in zone a, with workers in two zones.
func newDrawDispatcher(pool string, workers int) (d *Dispatcher, asked map[string]int, answer func(*wire.Grant)) {
	now, view, list := time.Second, feed.NewView(1), config.Workers{}
	changes := []wire.Change{{Key: config.DutyKey + "p/none", Revision: 1, Value: config.Duty{Holder: "gone", Boot: "1"}.Encode()}}
	for i := range workers {
		name := fmt.Sprintf("w%04d", i)
		list.Workers = append(list.Workers, config.Worker{Name: name, Address: "127.0.0.1:80", Zone: []string{"a", "b"}[i%2], State: "live"})
		changes = append(changes, wire.Change{Key: config.DutyKey + "p/" + name, Revision: int64(2 + i), Value: config.Duty{Holder: "x", Boot: "1"}.Encode()})
	}
	last := int64(2 + workers)
	changes = append(changes, wire.Change{Key: config.WorkersKey + "p", Revision: last, Value: list.Encode()})
	doc := fmt.Sprintf(`{"pools":{"p":%s},"lanes":{"l":{"pools":["p"]}}}`, pool)
	view.Update([]wire.PartNews{{Part: 0, To: 1, Changes: []wire.Change{{Key: config.DocumentKey, Revision: 1, Value: []byte(doc)}}}, {Part: 1, To: last, Changes: changes}}, now)
	members := session.NewMembership()
	members.Update("m", []wire.Member{{Who: wire.Who{Name: "x", Kind: "adapter", Boot: "1", Addr: "x"}}})
	asked = map[string]int{}
	var done func(any, error)
	d = NewDispatcher(DispatcherOptions{
		Daemon: &daemon.Daemon{Bounds: timing.Default, View: view, Membership: members, Who: wire.Who{Name: "s", Zone: "a"},
			Clock: func() time.Duration { return now }},
		Configs: &config.Cache{View: view}, Places: func() []*PlaceHost { return nil }, Rand: rand.New(rand.NewPCG(1, 2)),
		Post: func(_ wire.Who, ask any, answer func(any, error)) error {
			if want, isWant := ask.(*wire.Want); isWant {
				asked[want.Worker]++
				done = answer
			}
			return nil
		}})
	return d, asked, func(g *wire.Grant) { done(g, nil) }
}

// TestDraw checks which workers are asked for slots.
func TestDraw(t *testing.T) {
	full := &wire.Grant{Kind: string(errs.Full), Retry: 200}
	ask := func(d *Dispatcher, times int) (isFound bool) {
		for range times {
			isFound = d.requestSlot(d.o.Configs.Current(), "p")
		}
		return isFound
	}
	Convey("Workers are asked for slots", t, func() {
		Convey("only of the own zone while one may be asked, equally often", func() {
			d, asked, _ := newDrawDispatcher(`{"spill":false}`, 8)
			ask(d, 400)
			So(asked, ShouldHaveLength, 4)
			for worker, n := range asked {
				So(worker, ShouldBeIn, []string{"w0000", "w0002", "w0004", "w0006"})
				So(n, ShouldBeBetween, 60, 140)
			}
		})
		Convey("of all zones if the pool spills, other zones less often", func() {
			d, asked, _ := newDrawDispatcher(`{"spill":true}`, 8)
			ask(d, 2000)
			So(asked, ShouldHaveLength, 8)
			So(asked["w0001"], ShouldBeLessThan, asked["w0000"]/8)
		})
		Convey("not while they are blocked: then other workers, then other zones, then none", func() {
			d, asked, answer := newDrawDispatcher(`{"spill":false}`, 4)
			for i := range 4 {
				So(ask(d, 1), ShouldBeTrue)
				answer(full)
				So(asked, ShouldHaveLength, i+1)
			}
			So(asked["w0001"]+asked["w0003"], ShouldEqual, 2)
			So(ask(d, 1), ShouldBeFalse)
			Convey("until the block is over", func() {
				d.expireRequests(d.o.Daemon.Now() + 200*time.Millisecond)
				So(d.blockedUntil, ShouldBeEmpty)
				So(ask(d, 1), ShouldBeTrue)
			})
			Convey("or until another incarnation of the holder serves them", func() {
				boot := config.Duty{Holder: "x", Boot: "2"}.Encode()
				d.o.Daemon.View.Update([]wire.PartNews{{Part: 1, From: 6, To: 7, Changes: []wire.Change{{Key: config.DutyKey + "p/w0000", Revision: 7, Value: boot}}}}, time.Second)
				So(ask(d, 1), ShouldBeFalse)
				d.o.Daemon.Membership.Update("n", []wire.Member{{Who: wire.Who{Name: "x", Kind: "adapter", Boot: "2", Addr: "x"}}})
				So(ask(d, 1), ShouldBeTrue)
				So(asked["w0000"], ShouldEqual, 2)
			})
		})
		Convey("among many equal workers, although most of them are blocked", func() {
			d, asked, answer := newDrawDispatcher(`{"spill":false}`, 5000)
			for range 2400 {
				ask(d, 1)
				answer(full)
			}
			So(asked, ShouldHaveLength, 2400)
		})
	})
}
