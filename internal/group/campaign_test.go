package group

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"caperwheel/internal/timing"
	"caperwheel/internal/wire"
)

// campaigns lets time pass for a replica that nobody answers, and returns when it asked for
// votes.
func campaigns(g *Group, from, until time.Duration) (at []time.Duration) {
	for now := from; now < until; now += time.Millisecond {
		for _, m := range g.Tick(now).SendNow {
			if m.Kind == MsgPreVote {
				at = append(at, now)
				break
			}
		}
	}
	return at
}

// TestVainCampaigns: stores that started again together after a loss of power missed each
// other's first campaign by moments, and then waited for a whole election's timeout: 0.5 to
// 1 s at a bound of 4 s, in which nothing was taken.
func TestVainCampaigns(t *testing.T) {
	bounds := timing.Default
	heartbeat, timeout, spread := bounds.Of(timing.Heartbeat), bounds.Of(timing.ElectionTimeout), bounds.Of(timing.ElectionSpread)
	Convey("Given a replica whose first campaign nobody answers", t, func() {
		g := New(Options{Id: 1, Self: "a/0", Roster: []string{"a/0", "b/0", "c/0"}, Bounds: bounds, Seed: 1}, HardState{Term: 3}, nil, nil, 0)
		at := campaigns(g, 0, 10*time.Second)
		pauseOf := func(i int) time.Duration { return at[i+1] - at[i] }
		Convey("it campaigns again soon, and then more and more seldom, up to an election's timeout", func() {
			So(pauseOf(0), ShouldBeBetweenOrEqual, heartbeat, 2*heartbeat+time.Millisecond)
			So(pauseOf(1), ShouldBeBetweenOrEqual, 2*heartbeat, 4*heartbeat+time.Millisecond)
			for i := 2; i < len(at)-1; i++ {
				So(pauseOf(i), ShouldBeBetweenOrEqual, timeout, timeout+spread+time.Millisecond)
			}
			So(g.View().Term, ShouldEqual, 3) // it asks whether it may, and changes no term
		})
		Convey("and soon again after an owner was heard and has fallen silent", func() {
			g.Receive(wire.GroupMsg{Group: 1, Kind: MsgAppend, From: "b/0", To: "a/0", Term: 4}, 10*time.Second)
			at = campaigns(g, 10*time.Second, 14*time.Second)
			So(at[0], ShouldBeGreaterThanOrEqualTo, 10*time.Second+timeout)
			So(pauseOf(0), ShouldBeBetweenOrEqual, heartbeat, 2*heartbeat+time.Millisecond)
		})
	})
}
