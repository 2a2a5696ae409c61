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

// TestStartNeedsAFreshView checks that an owner starts nothing on a stale view. An adapter rejects such a run as well,
// so the simulation cannot show whether the owner checks its own view.
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
		{"starts nothing on a stale view, and releases the slot", false, 2 * time.Minute, 0},
		{"starts nothing in an expired slot, and releases it", true, time.Second, 0},
	}
	Convey("An owner with a ready message", t, func() {
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

// callbackHarness returns a harness with ended messages whose call-backs are to be submitted to other places.
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

// TestChildIsAskedForAgain checks that a call-back is submitted until it is accepted, one submission at a time. No
// lane of the simulated deliveries has call-backs.
func TestChildIsAskedForAgain(t *testing.T) {
	Convey("A call-back for another place", t, func() {
		b := callbackHarness("back")
		b.place.sendChildren()
		So(b.submitted, ShouldResemble, []string{"child of 0-0"})
		Convey("is submitted once at a time", func() {
			b.place.sendChildren()
			So(b.submitted, ShouldHaveLength, 1)
		})
		Convey("is submitted again if it was not accepted", func() {
			b.submitReplies[0](false)
			So(b.proposed, ShouldBeEmpty)
			b.place.sendChildren()
			So(b.submitted, ShouldHaveLength, 2)
			b.submitReplies[1](true)
			b.commit(true)
			b.place.sendChildren()
			So(b.submitted, ShouldHaveLength, 2)
			So(b.place.machine.Outbox(), ShouldBeEmpty)
		})
		Convey("is submitted again if its acceptance could not be committed", func() {
			b.submitReplies[0](true)
			b.commit(false)
			b.place.sendChildren()
			So(b.submitted, ShouldHaveLength, 2)
		})
		Convey("is submitted again by the next ownership, whatever the result of the earlier submission", func() {
			takeOwnership(b.place)
			b.place.sendChildren()
			So(b.submitted, ShouldHaveLength, 2)
		})
	})
}

// TestChildOfARemovedLane checks call-backs whose lane is not in the configuration.
func TestChildOfARemovedLane(t *testing.T) {
	Convey("Given call-backs, some of which have a lane that is not in the view,", t, func() {
		b := callbackHarness("back", "gone", "back", "gone")
		Convey("all are submitted if the view is fresh, since the lane was removed", func() {
			b.place.sendChildren()
			slices.Sort(b.submitted)
			So(b.submitted, ShouldResemble, []string{"child of 0-0", "child of 0-1", "child of 0-2", "child of 0-3"})
		})
		Convey("those are not submitted if the view is stale, since the lane may be new", func() {
			b.freshAnswers = []bool{false, false, false, false}
			b.place.sendChildren()
			So(b.submitted, ShouldNotContain, "child of 0-1")
			So(b.submitted, ShouldNotContain, "child of 0-3")
			b.freshAnswers = nil
			b.place.sendChildren()
			So(b.submitted, ShouldHaveLength, 4)
		})
	})
}
