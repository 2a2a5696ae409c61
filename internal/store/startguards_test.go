package store

import (
	"fmt"
	"slices"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"caperwheel/internal/config"
	"caperwheel/internal/place"
	"caperwheel/internal/wire"
)

// TestStartNeedsAFreshView: an adapter refuses a run on a view that is not fresh as well, so no
// simulated world tells whether an owner looks at its own.
func TestStartNeedsAFreshView(t *testing.T) {
	grant := SlotGrant{Pool: "p", Worker: "w", Holder: wire.Who{Name: "a", Boot: "1"}, Until: 2 * time.Minute}
	held := func() *harness {
		b := newHarness()
		b.place.Take(&wire.Take{Id: "0-x", Lane: "l", Deadline: 600_000}, func(any) {})
		b.commit(true)
		return b
	}
	cases := []struct {
		name    string
		isFresh bool
		until   time.Duration
		starts  int
	}{
		{"starts on a fresh view", true, 2 * time.Minute, 1},
		{"starts nothing on one that is not fresh, and gives the slot back", false, 2 * time.Minute, 0},
		{"starts nothing in a slot that has lapsed, and gives it back", true, time.Second, 0},
	}
	Convey("An owner with a message that may run", t, func() {
		for _, c := range cases {
			Convey(c.name, func() {
				b := held()
				b.freshAnswers, grant.Until = []bool{c.isFresh}, c.until
				b.place.Start("l", grant)
				So(b.proposed, ShouldHaveLength, c.starts)
				So(b.released, ShouldEqual, 1-c.starts)
			})
		}
	})
}

// callbackHarness gives a bench with messages that have ended and whose call-backs are to be taken elsewhere.
func callbackHarness(lanes ...string) *harness {
	b := newHarness()
	b.rules.Lanes["back"] = config.Lane{Name: "back", Pools: []string{"p"}}
	for i, lane := range lanes {
		id := fmt.Sprint("0-", i)
		b.place.Apply(place.Command{Kind: place.CmdTake, Id: id, Lane: "l", Deadline: 600_000}.Encode(), true)
		b.place.Apply(place.Command{Kind: place.CmdClose, Id: id, State: "failed", Retain: 600_000,
			Child: place.Child{Id: "child of " + id, Parent: id, Lane: lane}}.Encode(), true)
	}
	return b
}

// TestChildIsAskedForAgain: a call-back is offered until it was taken, one offer at a time. No lane of
// the simulated deliveries has such children.
func TestChildIsAskedForAgain(t *testing.T) {
	Convey("A call-back that is to be taken elsewhere", t, func() {
		b := callbackHarness("back")
		b.place.sendChildren()
		So(b.offered, ShouldResemble, []string{"child of 0-0"})
		Convey("is offered once at a time", func() {
			b.place.sendChildren()
			So(b.offered, ShouldHaveLength, 1)
		})
		Convey("is offered again where it was not taken", func() {
			b.offerReplies[0](false)
			So(b.proposed, ShouldBeEmpty)
			b.place.sendChildren()
			So(b.offered, ShouldHaveLength, 2)
			b.offerReplies[1](true)
			b.commit(true)
			b.place.sendChildren()
			So(b.offered, ShouldHaveLength, 2)
			So(b.place.machine.Outbox(), ShouldBeEmpty)
		})
		Convey("is offered again where that it was taken could not be committed", func() {
			b.offerReplies[0](true)
			b.commit(false)
			b.place.sendChildren()
			So(b.offered, ShouldHaveLength, 2)
		})
		Convey("is offered anew by the next ownership, whatever became of the offer before", func() {
			takeOwnership(b.place)
			b.place.sendChildren()
			So(b.offered, ShouldHaveLength, 2)
		})
	})
}

// TestChildOfARemovedLane is the table of call-backs whose lane the configuration does not have.
func TestChildOfARemovedLane(t *testing.T) {
	Convey("Of call-backs of which some have a lane that the view does not know,", t, func() {
		b := callbackHarness("back", "gone", "back", "gone")
		Convey("all are offered where the view is fresh: the lane was removed", func() {
			b.place.sendChildren()
			slices.Sort(b.offered)
			So(b.offered, ShouldResemble, []string{"child of 0-0", "child of 0-1", "child of 0-2", "child of 0-3"})
		})
		Convey("those are not offered where it is not: it may not have come yet", func() {
			b.freshAnswers = []bool{false, false, false, false}
			b.place.sendChildren()
			So(b.offered, ShouldNotContain, "child of 0-1")
			So(b.offered, ShouldNotContain, "child of 0-3")
			b.freshAnswers = nil
			b.place.sendChildren()
			So(b.offered, ShouldHaveLength, 4)
		})
	})
}
