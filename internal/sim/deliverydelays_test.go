package sim

import (
	"fmt"
	"strings"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"caperwheel/internal/check"
	"caperwheel/internal/timing"
)

// loseAllStores has all stores be without power for a while, from a moment on.
func (d *Deliveries) loseAllStores(at, span time.Duration) {
	d.Run(at)
	forEach(d.stores, func(s *deliveryStore) { s.kill(true) })
	d.Run(at + span)
	forEach(d.stores, (*deliveryStore).start)
}

// TestDelaysThroughLossesOfAllStores: a message with a delay once lay, with all well and room for it, for as long as
// all stores had been down since it was taken, since no group counted that time.
func TestDelaysThroughLossesOfAllStores(t *testing.T) {
	Convey("A message begins within a second of its delay's end, however often all stores were lost meanwhile", t, func() {
		d := NewDeliveries(NewWorld(41))
		d.Run(3 * time.Second)
		const delay = 60 * time.Second
		sent := d.now
		ids := []string{d.sendDelayed(laneUnordered, delay), d.sendDelayed(laneUnordered, delay), d.sendDelayed(laneEndpoint, delay)}
		d.loseAllStores(13*time.Second, 8*time.Second)
		d.loseAllStores(30*time.Second, 8*time.Second)
		d.loseAllStores(47*time.Second, 6*time.Second)
		d.Run(sent + delay + 40*time.Second)
		for _, id := range ids {
			at, isBegun := d.firstStart(id)
			Printf("%s: %v ", id, at-sent)
			So(isBegun, ShouldBeTrue)
			So(at-sent, ShouldBeBetween, delay, delay+maxLateness)
		}
	})
}

// checkDelaysAcrossLosses takes messages with delays of a minute, has all stores be without power three times meanwhile, for the
// first time from at to back, and checks that each begins in time. During a loss it does what hurt says.
func checkDelaysAcrossLosses(seed uint64, injectFault func(d *Deliveries, back time.Duration)) {
	d := NewDeliveries(NewWorld(seed))
	d.Run(3 * time.Second)
	const delay = 60 * time.Second
	sent := d.now
	ids := []string{d.sendDelayed(laneUnordered, delay), d.sendDelayed(laneUnordered, delay), d.sendDelayed(laneEndpoint, delay), d.sendDelayed(laneEndpoint, delay)}
	for _, at := range []time.Duration{13 * time.Second, 29 * time.Second, 45 * time.Second} {
		const outage = 6 * time.Second
		d.After(at-d.now, func() { injectFault(d, at+outage) })
		d.loseAllStores(at, outage)
	}
	d.Run(sent + delay + 40*time.Second)
	for _, id := range ids {
		at, isBegun := d.firstStart(id)
		Printf("%s: %v ", id, at-sent)
		So(isBegun, ShouldBeTrue)
		So(at-sent, ShouldBeBetween, delay, delay+maxLateness)
	}
}

// TestDelaysThroughStaleViews: a message with a delay once lay for as long as all stores had been down where the
// managers came back seconds after the stores: an owner gave up asking for its place's time before it knew of an adapter.
func TestDelaysThroughStaleViews(t *testing.T) {
	Convey("A message begins in time though its place's owners have no fresh view for seconds after each loss", t, func() {
		checkDelaysAcrossLosses(43, func(d *Deliveries, back time.Duration) { d.control.frozenUntil = back + 4500*time.Millisecond })
	})
}

// TestDelaysThroughFrozenAdapters: a message with a delay once lay for as long as all stores had been down where
// the adapters stood still as the stores came back: an owner gave up waiting for their answers.
func TestDelaysThroughFrozenAdapters(t *testing.T) {
	for _, after := range []time.Duration{800 * time.Millisecond, 1600 * time.Millisecond, 4 * time.Second} {
		Convey(fmt.Sprintf("A message begins in time though all adapters stand still until %v after each loss", after), t, func() {
			checkDelaysAcrossLosses(44, func(d *Deliveries, back time.Duration) {
				d.After(back-200*time.Millisecond-d.now, func() {
					forEach(d.adapters, func(a *deliveryAdapter) { a.frozenUntil = back + after })
				})
			})
		})
	}
}

// partitionStores has the stores be cut off from each other for a while, so that none is elected.
func (d *Deliveries) partitionStores(span time.Duration) {
	for _, s := range d.stores {
		for _, other := range d.stores {
			if s != other {
				d.CutLink(s.addr, other.addr)
			}
		}
	}
	d.Run(d.now + span)
	d.HealLinks()
}

// TestDelaysThroughLossesOfEverything: where the adapters were lost with the stores, so that nobody knew a place's time, a delay
// once was longer by the stores' elections as well, with each loss.
func TestDelaysThroughLossesOfEverything(t *testing.T) {
	Convey("A delay is longer by no more than each outage and the time since the last mark before it", t, func() {
		d := NewDeliveries(NewWorld(45))
		d.Run(3 * time.Second)
		const delay, outage = 60 * time.Second, 400 * time.Millisecond
		sent := d.now
		ids := []string{d.sendDelayed(laneUnordered, delay), d.sendDelayed(laneUnordered, delay), d.sendDelayed(laneEndpoint, delay), d.sendDelayed(laneEndpoint, delay)}
		losses := []time.Duration{13 * time.Second, 23 * time.Second, 33 * time.Second, 43 * time.Second, 53 * time.Second}
		for _, at := range losses {
			d.Run(at)
			forEach(d.adapters, (*deliveryAdapter).kill)
			d.loseAllStores(at, outage)
			forEach(d.adapters, (*deliveryAdapter).start)
			d.partitionStores(2 * time.Second)
		}
		d.Run(sent + delay + 40*time.Second)
		const marking = 100 * time.Millisecond // for a mark to be synced by a majority
		most := time.Duration(len(losses))*(outage+timing.Default.Of(timing.TimeCommitInterval)+marking) + maxLateness
		for _, id := range ids {
			at, isBegun := d.firstStart(id)
			Printf("%s: %v of %v ", id, at-sent-delay, most)
			So(isBegun, ShouldBeTrue)
			So(at-sent-delay, ShouldBeBetween, 0, most)
		}
	})
}

// TestDelaysUnderFaults plays long delays under each loss of owners.
func TestDelaysUnderFaults(t *testing.T) {
	type result struct {
		d        *Deliveries
		breaches []check.Breach
	}
	runs := runParallel(DelayFaults, func(hurt func(*Deliveries)) result {
		d, breaches := RunDelays(1, hurt)
		return result{d, breaches}
	})
	Convey("A message begins when its delay is over", t, func() {
		for name, r := range runs {
			Convey("under "+name, func() {
				printTrace(name, r.breaches, r.d.Trace)
				So(r.breaches, ShouldBeEmpty)
				So(len(r.d.runs), ShouldBeGreaterThan, 20)
			})
		}
	})
}

// TestDelaysAfterLateWord: an adapter that stood still as it was told a place's time, and was not told again before all stores were
// lost, is behind; the next owner goes on from its word where no other answers that was told in time.
func TestDelaysAfterLateWord(t *testing.T) {
	Convey("A message begins in time though one adapter was told late, and others stand still as the next owner asks", t, func() {
		d, breaches := RunDelays(1818, selectFaults(DelayFaults)...)
		printTrace("seed 1818", breaches, d.Trace)
		So(breaches, ShouldBeEmpty)
	})
}

// delayMutants are guards of a place's time across its owners, and the kind of sweep that finds their loss.
var delayMutants = map[string]struct {
	sourceMutant
	says string
}{
	"adapters keep what they are told": {sourceMutant{"internal/groupclock/cache.go",
		"	k.readings[group] = cachedReading{reading, now}\n", "", "", "delays"}, "LATE"},
	"owners ask before they begin": {sourceMutant{"internal/store/ownership.go",
		"if isOwner && !p.machine.IsIdle() {", "if false {", "", "delays"}, "LATE"},
	"owners wait for those that are slow": {sourceMutant{"internal/store/timerecovery.go", "limit := timing.TimeRecoveryMaxWait", "limit := timing.TimeQueryTimeout", "39", "delays"}, "LATE"},
	"owners hear several adapters": {sourceMutant{"internal/store/timerecovery.go",
		"return now-r.freshTimeAt >= bounds.Of(timing.TimeQueryGrace) ||", "return true ||", "55", "delays"}, "LATE"},
	"owners listen on while more are named": {sourceMutant{"internal/store/timerecovery.go", "now-r.adapterAddedAt <", "now-r.freshAt <", "114", "delays"}, "LATE"},
}

// TestDelayMutants: each guard that is taken out is found.
func TestDelayMutants(t *testing.T) {
	Convey("Messages begin late unless", t, func() {
		for name, m := range delayMutants {
			Convey(name, func() {
				out, err := sweepWith(t, t.TempDir(), strings.ReplaceAll(name, " ", "-"), m.sourceMutant, mutantSeeds)
				So(err, ShouldNotBeNil)
				So(out, ShouldContainSubstring, m.says)
			})
		}
	})
}

// TestDelaySweep plays many drawn worlds.
func TestDelaySweep(t *testing.T) {
	out, err := sweepWith(t, t.TempDir(), "sweep", sourceMutant{kind: "delays"}, delaySeeds)
	Convey("Messages begin when their delays are over in "+delaySeeds+" worlds", t, func() {
		if err != nil {
			t.Log(out)
		}
		So(err, ShouldBeNil)
		So(out, ShouldContainSubstring, "delays: "+delaySeeds+" seeds done, 0 broken so far")
	})
}

// delaySeeds are those played in continuous integration.
const delaySeeds = "100"
