package store

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"caperwheel/internal/config"
	"caperwheel/internal/place"
	"caperwheel/internal/wire"
)

// TestRunsOfAdaptersThatStayAway is the table of runs whose adapter has lost its session
// and does not come back: a run of it was once left lying until its message's patience ended.
func TestRunsOfAdaptersThatStayAway(t *testing.T) {
	const bound = time.Second
	cases := []struct {
		name        string
		lane        config.Lane
		repeats     bool
		isInHand    bool          // the adapter has said that it has the run
		backAt      time.Duration // when it is back for a moment; 0 for never
		least, most time.Duration // when the message may run again, after the adapter has gone; 0 for never
	}{
		{name: "one that it never heard of", lane: config.Lane{AllowsRerun: true}, least: 3 * time.Second, most: 4 * time.Second},
		{name: "one that it has in hand", lane: config.Lane{AllowsRerun: true}, isInHand: true, least: 3 * time.Second, most: 4 * time.Second},
		{name: "one while it comes and goes", lane: config.Lane{AllowsRerun: true}, backAt: 2 * time.Second, least: 5 * time.Second, most: 6 * time.Second},
		{name: "an ordered one that may still stand at its worker", lane: config.Lane{AllowsRerun: true, IsOrdered: true},
			least: 13 * time.Second, most: 14 * time.Second},
		{name: "an ordered one of a pool that knows a run again", lane: config.Lane{AllowsRerun: true, IsOrdered: true}, repeats: true,
			least: 3 * time.Second, most: 4 * time.Second},
		{name: "one whose result others keep", lane: config.Lane{AllowsRerun: true, UsesWitness: true}},
		{name: "one that must not run twice", lane: config.Lane{}},
		{name: "the last one that may be spent", lane: config.Lane{AllowsRerun: true, CountsEveryRun: true, MaxAttempts: 1}},
	}
	Convey("Given a run whose adapter has gone,", t, func() {
		for _, c := range cases {
			Convey(c.name, func() {
				b := newHarness()
				c.lane.Name, c.lane.Pools, c.lane.MaxBackoff = "v", []string{"p"}, time.Second
				b.rules.Pools["p"], b.rules.Lanes["v"] = config.Pool{RunTimeout: bound, AllowsDuplicateRuns: c.repeats}, c.lane
				b.place.Take(&wire.Take{Id: "0-x", Lane: "v", Key: "k", Deadline: 600_000}, func(any) {})
				b.commit(true)
				b.members["a"] = wire.Who{Name: "a", Boot: "1"}
				b.place.Start("v", SlotGrant{Pool: "p", Worker: "w", Holder: b.members["a"], Until: time.Hour})
				b.commit(true)
				if c.isInHand {
					b.answers[0](&wire.RunAck{}, nil)
				}
				delete(b.members, "a")
				gone, at := b.now, time.Duration(0)
				for b.now < gone+time.Minute && at == 0 {
					if delete(b.members, "a"); b.now-gone == c.backAt && c.backAt > 0 {
						b.members["a"] = wire.Who{Name: "a", Boot: "1"}
					}
					b.answers = nil
					b.place.Tick(b.now)
					b.commit(true)
					if b.place.machine.Find("0-x").State == place.Held {
						at = b.now - gone
					}
					b.now += 100 * time.Millisecond
				}
				if c.most == 0 {
					So(at, ShouldEqual, 0)
					So(b.place.machine.Find("0-x").State, ShouldEqual, place.Started)
					return
				}
				So(at, ShouldBeBetweenOrEqual, c.least, c.most)
			})
		}
	})
}
