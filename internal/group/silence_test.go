package group

import (
	"math"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"caperwheel/internal/timing"
)

// TestSilence checks how long ago an owner has heard from a store. It guards against a new owner that counts the
// silence of a store that was lost earlier from the start of its own ownership: each change of owner then delayed the
// replacement of the store.
func TestSilence(t *testing.T) {
	timeout := timing.Default.Of(timing.ElectionTimeout)
	cases := []struct {
		name, store string
		now, want   time.Duration
	}{
		{"its own store", "b", time.Minute, 0},
		{"one that has answered", "a", time.Minute, time.Minute - time.Millisecond},
		{"one that may still answer", "c", timeout - 1, timeout - 1},
		{"one that has never answered this owner", "c", timeout, math.MaxInt64},
	}
	Convey("The silence, for an owner, of", t, func() {
		for _, c := range cases {
			Convey(c.name, func() {
				So(ownerWithAck(2).Silence(c.store, c.now), ShouldEqual, c.want) // store a answered after 1 ms
			})
		}
	})
	Convey("An owner reports that not every voter responds while one has not answered", t, func() {
		g := ownerWithAck(2)
		So(g.IsEveryVoterResponding(), ShouldBeFalse)
		g.peer("c/0").acked = g.round
		So(g.IsEveryVoterResponding(), ShouldBeTrue)
	})
}
