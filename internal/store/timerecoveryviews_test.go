package store

import (
	"fmt"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"caperwheel/internal/timing"
	"caperwheel/internal/wire"
)

// TestRecallByView checks that an owner queries the adapters that its view names, and knows of none before the view is
// fresh.
func TestRecallByView(t *testing.T) {
	queryTimeout, maxWait := timing.Default.Of(timing.TimeQueryTimeout), timing.Default.Of(timing.TimeRecoveryMaxWait)
	Convey("An owner without known adapters waits for some, but not forever", t, func() {
		b := recoveringHarness(0)
		b.advance(maxWait - time.Millisecond)
		So(b.place.host.IsOwner(), ShouldBeFalse)
		b.advance(time.Millisecond)
		So(b.place.host.IsOwner(), ShouldBeTrue)
	})
	Convey("Adapters of an older build are not waited for", t, func() {
		b := recoveringHarness(0)
		b.rejectsTimeMessages, b.adapters = true, []wire.Who{{Name: "old", Boot: "old.1"}}
		b.advance(0)
		b.advance(queryTimeout)
		So(b.place.host.IsOwner(), ShouldBeTrue)
	})
	Convey("An owner whose view is stale waits for a fresh one, since it may name more adapters", t, func() {
		b := recoveringHarness(1)
		takeReplies[*wire.AskTime](b)[0](&wire.TimeKept{}, nil)
		b.freshAnswers = []bool{false}
		b.advance(queryTimeout)
		So(takeReplies[*wire.TellTime](b), ShouldBeEmpty)
		b.advance(time.Millisecond)
		b.storeTime()
		So(b.place.host.IsOwner(), ShouldBeTrue)
	})
	Convey("An owner without a fresh view for long queries the adapters that the view names once it is fresh", t, func() {
		b := recoveringHarness(0)
		b.place.OwnershipChanged(false)
		b.freshAnswers = []bool{false, false, false}
		b.place.OwnershipChanged(true)
		b.advance(maxWait)
		b.advance(maxWait)
		So(b.place.host.IsOwner(), ShouldBeFalse)
		b.adapters = []wire.Who{{Name: "a", Boot: "a.1"}}
		b.advance(time.Millisecond)
		takeReplies[*wire.AskTime](b)[0](&wire.TimeKept{Term: 5, Reading: 90_000}, nil)
		So(b.place.now(), ShouldEqual, 90_000)
	})
	Convey("An owner whose view keeps naming more adapters goes on waiting for others", t, func() {
		b := recoveringHarness(0)
		for i := range 3 {
			b.advance(queryTimeout - time.Millisecond)
			name := fmt.Sprint("new", i)
			b.adapters = append(b.adapters, wire.Who{Name: name, Boot: name + ".1"})
			b.advance(0)
			takeReplies[*wire.AskTime](b)[0](&wire.TimeKept{}, nil)
		}
		b.advance(queryTimeout - time.Millisecond)
		So(takeReplies[*wire.TellTime](b), ShouldBeEmpty)
		b.advance(time.Millisecond)
		So(takeReplies[*wire.TellTime](b), ShouldHaveLength, 3)
	})
}
