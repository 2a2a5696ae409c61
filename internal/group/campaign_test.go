package group

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"caperwheel/internal/timing"
	"caperwheel/internal/wire"
)

// campaigns ticks a replica that gets no answers, and returns the times at which it requested pre-votes.
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

// TestVainCampaigns guards the backoff of elections. Stores that restart together after a power loss may miss each
// other's first election by moments. They used to wait for a whole election timeout then, 0.5 to 1 s at a bound of 4 s,
// in which no messages were accepted.
func TestVainCampaigns(t *testing.T) {
	bounds := timing.Default
	heartbeat, timeout, spread := bounds.Of(timing.Heartbeat), bounds.Of(timing.ElectionTimeout), bounds.Of(timing.ElectionSpread)
	Convey("Given a replica whose first election nobody answers", t, func() {
		g := New(Options{Id: 1, Self: "a/0", Roster: []string{"a/0", "b/0", "c/0"}, Bounds: bounds, Seed: 1}, HardState{Term: 3}, nil, nil, 0)
		at := campaigns(g, 0, 10*time.Second)
		pauseOf := func(i int) time.Duration { return at[i+1] - at[i] }
		Convey("it retries after one heartbeat, with a backoff that grows up to the election timeout", func() {
			So(pauseOf(0), ShouldBeBetweenOrEqual, heartbeat, 2*heartbeat+time.Millisecond)
			So(pauseOf(1), ShouldBeBetweenOrEqual, 2*heartbeat, 4*heartbeat+time.Millisecond)
			for i := 2; i < len(at)-1; i++ {
				So(pauseOf(i), ShouldBeBetweenOrEqual, timeout, timeout+spread+time.Millisecond)
			}
			So(g.View().Term, ShouldEqual, 3) // pre-votes do not change the term
		})
		Convey("the backoff starts again after an owner was heard from and has fallen silent", func() {
			g.Receive(wire.GroupMsg{Group: 1, Kind: MsgAppend, From: "b/0", To: "a/0", Term: 4}, 10*time.Second)
			at = campaigns(g, 10*time.Second, 14*time.Second)
			So(at[0], ShouldBeGreaterThanOrEqualTo, 10*time.Second+timeout)
			So(pauseOf(0), ShouldBeBetweenOrEqual, heartbeat, 2*heartbeat+time.Millisecond)
		})
	})
}
