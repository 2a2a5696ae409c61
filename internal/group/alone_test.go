package group

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"caperwheel/internal/timing"
)

// TestAloneOwnerSaysNothingUnsynced guards against a sole voter that sends entries of a term before the term is synced.
// After a power loss it could be elected in the same term again and append different entries, while its learner held
// the first ones under the same index and term.
func TestAloneOwnerSaysNothingUnsynced(t *testing.T) {
	Convey("Given a group of one voter with a learner", t, func() {
		g := New(Options{Id: 1, Self: "a/0", Roster: []string{"a/0", "~b/0"}, Bounds: timing.Default, Seed: 1}, HardState{}, nil, nil, 0)
		now := timing.Default.ConfigApply
		hasAppend := func(out Output) bool {
			for _, m := range out.SendNow {
				if m.Kind == MsgAppend {
					return true
				}
			}
			return false
		}
		out := g.Tick(now)
		So(g.View().Role, ShouldEqual, Owner)
		Convey("no append of the new term is sent before its first entry is synced", func() {
			So(hasAppend(out), ShouldBeFalse)
			So(hasAppend(g.Tick(now+timing.Default.Of(timing.Heartbeat))), ShouldBeFalse)
			_, _, out, _ = g.Propose([]byte("x"), now+timing.Default.Of(timing.Heartbeat))
			So(hasAppend(out), ShouldBeFalse)
		})
		Convey("appends are sent from then on", func() {
			g.Synced(1, 1, now+time.Millisecond)
			So(hasAppend(g.Tick(now+timing.Default.Of(timing.Heartbeat)+time.Millisecond)), ShouldBeTrue)
		})
	})
}
