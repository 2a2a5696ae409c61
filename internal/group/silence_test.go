package group

import (
	"math"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"caperwheel/internal/timing"
)

// TestSilence is the table of for how long an owner has not heard of a store. A new
// owner once counted the silence of a store that was lost before from its own
// beginning, so that the store's seat was free a change of owner too late.
func TestSilence(t *testing.T) {
	patience := timing.Default.Of(timing.ElectionTimeout)
	cases := []struct {
		name, store string
		now, want   time.Duration
	}{
		{"itself", "b", time.Minute, 0},
		{"one that has answered", "a", time.Minute, time.Minute - time.Millisecond},
		{"one that may answer yet", "c", patience - 1, patience - 1},
		{"one that has never answered this owner", "c", patience, math.MaxInt64},
	}
	Convey("An owner has not heard of", t, func() {
		for _, c := range cases {
			Convey(c.name, func() {
				So(ownerWithAck(2).Silence(c.store, c.now), ShouldEqual, c.want) // a has answered after 1 ms
			})
		}
	})
	Convey("An owner that misses the answer of one voter says so", t, func() {
		g := ownerWithAck(2)
		So(g.IsEveryVoterResponding(), ShouldBeFalse)
		g.peer("c/0").acked = g.round
		So(g.IsEveryVoterResponding(), ShouldBeTrue)
	})
}
