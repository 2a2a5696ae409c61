package store

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"caperwheel/internal/config"
	"caperwheel/internal/place"
	"caperwheel/internal/wire"
)

// advanceWithLostRuns lets a tenth of a second pass, in which every adapter that is asked has begun
// a new life.
func (b *harness) advanceWithLostRuns() {
	b.now += 100 * time.Millisecond
	b.answers = nil
	b.place.Tick(b.now)
	for _, answer := range b.answers {
		answer(&wire.OpenAck{State: "gone"}, nil)
	}
	b.commit(true)
}

// TestWaitsOutliveTheConfiguration: how long an ordered run whose fate is unknown may
// go on was once read from the newest configuration's pool. After a change, or where
// the lane has a bound of its own, the next of the key could begin beside it.
func TestWaitsOutliveTheConfiguration(t *testing.T) {
	const bound = 10 * time.Second
	cases := []struct {
		name   string
		pool   config.Pool
		lane   config.Lane
		change func(r *config.Rules)
		isGone bool // the adapter has begun a new life; else it is away
	}{
		{"a pool's bound is lowered, its adapter begins anew", config.Pool{RunTimeout: bound}, config.Lane{AllowsRerun: true},
			func(r *config.Rules) { r.Pools["p"] = config.Pool{RunTimeout: time.Second} }, true},
		{"the pool is gone, its adapter begins anew", config.Pool{RunTimeout: bound}, config.Lane{AllowsRerun: true},
			func(r *config.Rules) { delete(r.Pools, "p") }, true},
		{"the lane has a longer bound than the pool", config.Pool{RunTimeout: time.Second}, config.Lane{AllowsRerun: true, RunTimeout: bound},
			func(*config.Rules) {}, true},
		{"the lane's bound is lowered", config.Pool{RunTimeout: time.Second}, config.Lane{AllowsRerun: true, RunTimeout: bound},
			func(r *config.Rules) { l := r.Lanes["o"]; l.RunTimeout = time.Second; r.Lanes["o"] = l }, true},
		{"the pool lets runs be repeated, but the message is closed", config.Pool{RunTimeout: bound, AllowsDuplicateRuns: true}, config.Lane{},
			func(*config.Rules) {}, true},
		{"a pool's bound is lowered, its adapter stays away", config.Pool{RunTimeout: bound}, config.Lane{AllowsRerun: true},
			func(r *config.Rules) { r.Pools["p"] = config.Pool{RunTimeout: time.Second} }, false},
		{"the pool is gone, its adapter stays away", config.Pool{RunTimeout: bound}, config.Lane{AllowsRerun: true},
			func(r *config.Rules) { delete(r.Pools, "p") }, false},
		{"the lane has a longer bound than the pool, its adapter stays away", config.Pool{RunTimeout: time.Second},
			config.Lane{AllowsRerun: true, RunTimeout: bound}, func(*config.Rules) {}, false},
	}
	Convey("Nothing of a key begins while an earlier run may go on where", t, func() {
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
				So(b.place.machine.Ready(b.place.now()), ShouldNotBeEmpty) // and it does in the end
			})
		}
	})
}

// TestLateAsTheViewLapses: a message of a lane that is gone, whose patience is over, was once
// closed without any retention where the view lapsed within the same moment: nobody could
// ask for it.
func TestLateAsTheViewLapses(t *testing.T) {
	Convey("A message of a lane that is gone can be asked for once it has expired, should the view lapse meanwhile", t, func() {
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

// TestTallyOfWaits: what operators see of messages that wait and of runs that nobody tells of.
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
		So(b.place.stats().longestWaits, ShouldBeEmpty) // the second of the key must not run
		So(b.place.stats().orphanedRuns, ShouldEqual, 1)
		b.members["a"] = wire.Who{Name: "a", Boot: "1"}
		So(b.place.stats().orphanedRuns, ShouldEqual, 0)
	})
}
