package store

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"caperwheel/internal/config"
	"caperwheel/internal/place"
	"caperwheel/internal/wire"
)

// advanceWithLostRuns lets 100 ms pass, in which every adapter that is asked has restarted.
func (b *harness) advanceWithLostRuns() {
	b.now += 100 * time.Millisecond
	b.answers = nil
	b.place.Tick(b.now)
	for _, answer := range b.answers {
		answer(&wire.OpenAck{State: "gone"}, nil)
	}
	b.commit(true)
}

// TestWaitsOutliveTheConfiguration guards against reading the time for which an ordered run of unknown result may
// still go on from the newest configuration. After a change of a bound, or if the lane has its own bound, the next
// message of the key could then start beside the run.
func TestWaitsOutliveTheConfiguration(t *testing.T) {
	const bound = 10 * time.Second
	cases := []struct {
		name   string
		pool   config.Pool
		lane   config.Lane
		change func(r *config.Rules)
		isGone bool // the adapter has restarted; else it has no session
	}{
		{"a pool's bound is lowered, its adapter restarts", config.Pool{RunTimeout: bound}, config.Lane{AllowsRerun: true},
			func(r *config.Rules) { r.Pools["p"] = config.Pool{RunTimeout: time.Second} }, true},
		{"the pool is removed, its adapter restarts", config.Pool{RunTimeout: bound}, config.Lane{AllowsRerun: true},
			func(r *config.Rules) { delete(r.Pools, "p") }, true},
		{"the lane has a longer bound than the pool", config.Pool{RunTimeout: time.Second}, config.Lane{AllowsRerun: true, RunTimeout: bound},
			func(*config.Rules) {}, true},
		{"the lane's bound is lowered", config.Pool{RunTimeout: time.Second}, config.Lane{AllowsRerun: true, RunTimeout: bound},
			func(r *config.Rules) { l := r.Lanes["o"]; l.RunTimeout = time.Second; r.Lanes["o"] = l }, true},
		{"the pool deduplicates, but the message is closed", config.Pool{RunTimeout: bound, AllowsDuplicateRuns: true}, config.Lane{},
			func(*config.Rules) {}, true},
		{"a pool's bound is lowered, its adapter stays absent", config.Pool{RunTimeout: bound}, config.Lane{AllowsRerun: true},
			func(r *config.Rules) { r.Pools["p"] = config.Pool{RunTimeout: time.Second} }, false},
		{"the pool is removed, its adapter stays absent", config.Pool{RunTimeout: bound}, config.Lane{AllowsRerun: true},
			func(r *config.Rules) { delete(r.Pools, "p") }, false},
		{"the lane has a longer bound than the pool, its adapter stays absent", config.Pool{RunTimeout: time.Second},
			config.Lane{AllowsRerun: true, RunTimeout: bound}, func(*config.Rules) {}, false},
	}
	Convey("No message of a key starts while an earlier run may still go on, if", t, func() {
		for _, c := range cases {
			Convey(c.name, func() {
				b := newHarness()
				c.lane.Name, c.lane.IsOrdered, c.lane.Pools, c.lane.MaxBackoff = "o", true, []string{"p"}, time.Second
				b.rules.Pools["p"], b.rules.Lanes["o"] = c.pool, c.lane
				for _, id := range []string{"0-x", "0-y"} {
					b.place.Take(&wire.Take{Id: id, Lane: "o", Key: "k", Deadline: 600_000}, func(any) {})
				}
				b.commit(true)
				b.place.machine.Find("0-x").Deadline = b.place.now() + 1000
				began := b.now
				b.place.Start("o", SlotGrant{Pool: "p", Worker: "w", Holder: wire.Who{Name: "a", Boot: "1"}, Until: time.Hour})
				b.commit(true)
				So(b.place.machine.Find("0-x").State, ShouldEqual, place.Started)
				c.change(b.rules)
				if c.isGone {
					b.members["a"] = wire.Who{Name: "a", Boot: "2"}
				}
				for b.now < began+place.OrphanedRunLimit(bound) {
					b.advanceWithLostRuns()
					So(b.place.machine.Ready(b.place.now()), ShouldBeEmpty)
				}
				for b.now < began+12*bound && len(b.place.machine.Ready(b.place.now())) == 0 {
					b.advanceWithLostRuns()
				}
				So(b.place.machine.Ready(b.place.now()), ShouldNotBeEmpty) // in the end it may run
			})
		}
	})
}

// TestLateAsTheViewLapses guards against an expired message of a removed lane being closed without any retention, if
// the view becomes stale at the same moment, so that it cannot be queried.
func TestLateAsTheViewLapses(t *testing.T) {
	Convey("A message of a removed lane can be queried after it has expired, although the view becomes stale meanwhile", t, func() {
		b := newHarness()
		b.place.Take(&wire.Take{Id: "0-x", Lane: "l", Deadline: 1000}, func(any) {})
		b.commit(true)
		delete(b.rules.Lanes, "l")
		b.now += 2 * time.Second
		b.freshAnswers = []bool{true, false, false}
		b.place.Tick(b.now)
		b.commit(true)
		e := b.place.machine.Find("0-x")
		So(e.State, ShouldEqual, place.Expired)
		So(e.ForgetAt, ShouldBeGreaterThanOrEqualTo, b.place.now()+(5*time.Minute).Milliseconds())
	})
}

// TestTallyOfWaits checks the statistics of waiting messages and of open runs whose adapter is lost.
func TestTallyOfWaits(t *testing.T) {
	Convey("Given messages of a key, one that has a delay, and a run", t, func() {
		b := newHarness()
		b.rules.Lanes["o"] = config.Lane{Name: "o", IsOrdered: true, Pools: []string{"p"}}
		for _, id := range []string{"0-x", "0-y"} {
			b.place.Take(&wire.Take{Id: id, Lane: "o", Key: "k", Deadline: 600_000}, func(any) {})
		}
		b.place.Take(&wire.Take{Id: "0-d", Lane: "l", Delay: 30_000, Deadline: 600_000}, func(any) {})
		b.commit(true)
		b.now += 2 * time.Second
		So(b.place.stats().longestWaits, ShouldResemble, map[string]time.Duration{"o": 2 * time.Second})
		b.place.Start("o", SlotGrant{Pool: "p", Worker: "w", Holder: wire.Who{Name: "a", Boot: "1"}, Until: time.Hour})
		b.commit(true)
		So(b.place.stats().longestWaits, ShouldBeEmpty) // the second message of the key must not run
		So(b.place.stats().orphanedRuns, ShouldEqual, 1)
		b.members["a"] = wire.Who{Name: "a", Boot: "1"}
		So(b.place.stats().orphanedRuns, ShouldEqual, 0)
	})
}
