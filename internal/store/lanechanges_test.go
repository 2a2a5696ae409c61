package store

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"caperwheel/internal/config"
	"caperwheel/internal/place"
	"caperwheel/internal/wire"
)

// orderedHarness returns a harness with a lane o, ordered or not.
func orderedHarness(isOrdered bool) *harness {
	b := newHarness()
	b.setLane(config.Lane{Name: "o", IsOrdered: isOrdered, MaxAttempts: 3, AllowsRerun: true, Pools: []string{"p"}, MaxBackoff: time.Second})
	return b
}

func (b *harness) setLane(lane config.Lane) { b.rules.Lanes[lane.Name] = lane }

// takeKeyed submits a message of lane o with key k.
func (b *harness) takeKeyed(id string) {
	b.place.Take(&wire.Take{Id: id, Lane: "o", Key: "k", Deadline: 600_000}, func(any) {})
	b.commit(true)
}

// runNext starts the next message of lane o and reports an outcome of the given kind.
func (b *harness) runNext(kind string) {
	b.place.Start("o", SlotGrant{Pool: "p", Worker: "w", Holder: wire.Who{Name: "a", Boot: "1"}, Until: time.Hour})
	b.commit(true)
	for _, e := range b.place.machine.Running() {
		b.place.Outcome(&wire.Outcome{Id: e.Id, Kind: kind, MayHaveStarted: true, Proof: wire.Proof{Attempt: e.Attempt, Answer: []byte{}}}, func(any) {})
	}
	b.commit(true)
	b.now += 5 * time.Second // longer than any retry delay
}

func (b *harness) state(id string) place.State { return b.place.machine.Find(id).State }

func (b *harness) ready() int { return b.place.machine.Ready(b.place.now())["o"] }

// TestLaneChanges checks what a new configuration means for messages that were accepted under an older one.
func TestLaneChanges(t *testing.T) {
	Convey("A lane that becomes ordered orders the messages accepted from then on", t, func() {
		b := orderedHarness(false)
		b.takeKeyed("0-1")
		b.takeKeyed("0-2")
		lane := b.rules.Lanes["o"]
		lane.IsOrdered = true
		b.setLane(lane)
		b.takeKeyed("0-3")
		b.takeKeyed("0-4")
		So(b.ready(), ShouldEqual, 3)
		b.runNext("")
		b.runNext("")
		b.runNext("")
		So([]place.State{b.state("0-1"), b.state("0-2"), b.state("0-3"), b.state("0-4")}, ShouldResemble,
			[]place.State{place.Ended, place.Ended, place.Ended, place.Held})
		So(b.ready(), ShouldEqual, 1)
	})
	Convey("A lane that is no longer ordered keeps the order of the messages accepted before", t, func() {
		b := orderedHarness(true)
		b.takeKeyed("0-1")
		b.takeKeyed("0-2")
		lane := b.rules.Lanes["o"]
		lane.IsOrdered = false
		b.setLane(lane)
		b.takeKeyed("0-3")
		So(b.ready(), ShouldEqual, 2)
		b.runNext("")
		So(b.state("0-1"), ShouldEqual, place.Ended)
		So(b.state("0-2"), ShouldEqual, place.Held)
	})
	Convey("A lane that was removed and is added again goes on in order, before later messages", t, func() {
		b := orderedHarness(true)
		b.takeKeyed("0-1")
		b.takeKeyed("0-2")
		lane := b.rules.Lanes["o"]
		delete(b.rules.Lanes, "o")
		b.now += time.Second
		b.place.Tick(b.now)
		b.commit(true)
		So(b.state("0-1"), ShouldEqual, place.Held)
		b.setLane(lane)
		b.takeKeyed("0-3")
		for _, id := range []string{"0-1", "0-2", "0-3"} {
			So(b.ready(), ShouldEqual, 1)
			So(b.state(id), ShouldEqual, place.Held)
			b.runNext("")
			So(b.state(id), ShouldEqual, place.Ended)
		}
	})
	Convey("A message that has spent more attempts than the lane now allows is closed, and the next of its key runs", t, func() {
		b := orderedHarness(true)
		b.takeKeyed("0-1")
		b.takeKeyed("0-2")
		b.runNext("unsound")
		b.runNext("unsound")
		So(b.place.machine.Find("0-1").CountedAttempts, ShouldEqual, 2)
		lane := b.rules.Lanes["o"]
		lane.MaxAttempts = 1
		b.setLane(lane)
		b.runNext("")
		So(b.state("0-1"), ShouldEqual, place.Failed)
		So(b.state("0-2"), ShouldEqual, place.Held)
		b.runNext("")
		So(b.state("0-2"), ShouldEqual, place.Ended)
	})
}
