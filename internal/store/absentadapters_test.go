package store

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"caperwheel/internal/config"
	"caperwheel/internal/place"
	"caperwheel/internal/wire"
)

// TestRunsOfAdaptersThatStayAway is the table of runs whose adapter has lost its session and does not come back. It
// guards against a run that is not requeued until its message's patience ends.
func TestRunsOfAdaptersThatStayAway(t *testing.T) {
	const bound = time.Second
	cases := []struct {
		name        string
		lane        config.Lane
		repeats     bool
		isConfirmed bool          // the adapter has confirmed the run
		backAt      time.Duration // when the adapter has a session for a moment; 0 for never
		least, most time.Duration // when the message may run again, after the adapter was lost; 0 for never
	}{
		{name: "a run that it never received", lane: config.Lane{AllowsRerun: true}, least: 3 * time.Second, most: 4 * time.Second},
		{name: "a run that it has confirmed", lane: config.Lane{AllowsRerun: true}, isConfirmed: true, least: 3 * time.Second, most: 4 * time.Second},
		{name: "a run while it reconnects and is lost again", lane: config.Lane{AllowsRerun: true}, backAt: 2 * time.Second, least: 5 * time.Second, most: 6 * time.Second},
		{name: "an ordered run that may still occupy its worker", lane: config.Lane{AllowsRerun: true, IsOrdered: true},
			least: 13 * time.Second, most: 14 * time.Second},
		{name: "an ordered run of a pool that deduplicates", lane: config.Lane{AllowsRerun: true, IsOrdered: true}, repeats: true,
			least: 3 * time.Second, most: 4 * time.Second},
		{name: "a run whose result is also kept elsewhere", lane: config.Lane{AllowsRerun: true, UsesWitness: true}},
		{name: "a run that must not be repeated", lane: config.Lane{}},
		{name: "the last attempt", lane: config.Lane{AllowsRerun: true, CountsEveryRun: true, MaxAttempts: 1}},
	}
	Convey("Given a run whose adapter is lost,", t, func() {
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
				if c.isConfirmed {
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
