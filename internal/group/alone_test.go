package group

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"caperwheel/internal/timing"
)

// TestAloneOwnerSaysNothingUnsynced: the owner of a group of one once told its
// learner of a term that its own disk did not know yet. After a loss of power it
// owned that term a second time with other entries, and the learner held the
// first ones under the same index and term.
func TestAloneOwnerSaysNothingUnsynced(t *testing.T) {
	Convey("Given a group of one with a learner", t, func() {
		g := New(Options{Id: 1, Self: "a/0", Roster: []string{"a/0", "~b/0"}, Bounds: timing.Default, Seed: 1}, HardState{}, nil, nil, 0)
		now := timing.Default.ConfigApply
		isTold := func(out Output) bool {
			for _, m := range out.SendNow {
				if m.Kind == MsgAppend {
					return true
				}
			}
			return false
		}
		out := g.Tick(now)
		So(g.View().Role, ShouldEqual, Owner)
		Convey("nothing of the new term leaves before its first entry is synced", func() {
			So(isTold(out), ShouldBeFalse)
			So(isTold(g.Tick(now+timing.Default.Of(timing.Heartbeat))), ShouldBeFalse)
			_, _, out, _ = g.Propose([]byte("x"), now+timing.Default.Of(timing.Heartbeat))
			So(isTold(out), ShouldBeFalse)
		})
		Convey("and it does from then on", func() {
			g.Synced(1, 1, now+time.Millisecond)
			So(isTold(g.Tick(now+timing.Default.Of(timing.Heartbeat)+time.Millisecond)), ShouldBeTrue)
		})
	})
}
