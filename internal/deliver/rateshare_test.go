package deliver

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"caperwheel/internal/config"
)

// Parameters of the simulation: adapters see a service's workers and duties with a delay of less than a fence, while
// the duties move from one adapter to another, one worker at a time, and workers are added and removed.
const (
	rateShareSeeds    = 40 // more seeds are run by hand
	rateShareSpan     = 60 * time.Second
	rateShareStep     = 10 * time.Millisecond
	rateShareFence    = 3 * time.Second
	rateShareAdapters = 3
)

// dutyVersion is the set of duties from a moment on: the holder and term for each worker.
type dutyVersion struct {
	at     time.Duration
	duties map[string]config.AssignedDuty
}

// rateShareSimulation is the state of one seed's simulation.
type rateShareSimulation struct {
	random   *rand.Rand
	versions []dutyVersion
	holder   int
	term     int64
	workers  int
	starts   []time.Duration
}

// change adds a version: a worker is added or removed, another adapter takes over, or one more duty moves to it.
func (p *rateShareSimulation) change(now time.Duration) {
	was, next := p.versions[len(p.versions)-1], map[string]config.AssignedDuty{}
	for worker, duty := range was.duties {
		next[worker] = duty
	}
	name := func(adapter int) string { return fmt.Sprint("a", adapter) }
	switch drawn := p.random.IntN(10); {
	case drawn == 0:
		p.holder = p.random.IntN(rateShareAdapters)
	case drawn == 1 && len(next) < 8 || len(next) == 0:
		p.workers++
		p.term++
		next[fmt.Sprint("w", p.workers)] = config.AssignedDuty{Duty: config.Duty{Holder: name(p.holder)}, Term: p.term}
	case drawn == 2 && len(next) > 1:
		for worker := range next {
			delete(next, worker)
			break
		}
	default:
		for worker, duty := range next {
			if duty.Holder != name(p.holder) {
				p.term++
				next[worker] = config.AssignedDuty{Duty: config.Duty{Holder: name(p.holder)}, Term: p.term}
				break
			}
		}
	}
	p.versions = append(p.versions, dutyVersion{now, next})
}

// rateShareMutant removes a guard.
type rateShareMutant struct {
	fence          time.Duration // possibly shorter than the time that others may act on outdated views
	takesWholeRate bool          // each holder takes the whole rate for any worker
}

// simulateRateShares returns by how many starts any window exceeded the bound, and the share of the rate that was used.
func simulateRateShares(seed uint64, mutant rateShareMutant) (over float64, used float64) {
	p := &rateShareSimulation{random: rand.New(rand.NewPCG(seed, 0)), versions: []dutyVersion{{0, map[string]config.AssignedDuty{}}}}
	rate := []float64{2, 5, 20, 100}[p.random.IntN(4)]
	allowances, seen, lag := [rateShareAdapters]*RateShare{}, [rateShareAdapters]int{}, [rateShareAdapters]time.Duration{}
	for i := range allowances {
		allowances[i] = NewRateShare(mutant.fence, 0)
	}
	for now := rateShareStep; now < rateShareSpan; now += rateShareStep {
		if p.random.IntN(20) == 0 {
			p.change(now)
		}
		for i, a := range allowances {
			if p.random.IntN(100) == 0 {
				lag[i] = time.Duration(p.random.Int64N(int64(rateShareFence)))
			}
			for seen[i]+1 < len(p.versions) && p.versions[seen[i]+1].at <= now-lag[i] {
				seen[i]++
			}
			if seen[i]+1 < len(p.versions) && p.versions[seen[i]+1].at <= now-rateShareFence {
				continue // its view is stale
			}
			p.act(a, i, seen[i], rate, now, mutant)
		}
	}
	first := 0
	for i, at := range p.starts {
		for p.starts[first] <= at-5*time.Second {
			first++
		}
		over = max(over, float64(i-first+1)-(rate*5*1.1+5))
	}
	return over, float64(len(p.starts)) / (rate * rateShareSpan.Seconds())
}

// act makes an adapter start as many runs as it may.
func (p *rateShareSimulation) act(a *RateShare, adapter, version int, rate float64, now time.Duration, mutant rateShareMutant) {
	held, world := map[string]config.AssignedDuty{}, p.versions[version]
	for worker, duty := range world.duties {
		if duty.Holder == fmt.Sprint("a", adapter) {
			held[worker] = duty
		}
	}
	listed := len(world.duties)
	if mutant.takesWholeRate && len(held) > 0 {
		held, listed = map[string]config.AssignedDuty{"w": {Term: 1}}, 1
	}
	a.Update(rate, held, listed, now)
	for len(held) > 0 && a.Wait(now) == 0 {
		a.TakeToken()
		p.starts = append(p.starts, now)
	}
}

// TestCeiling guards against a service that gets a multiple of its rate_per_s because each of its listed workers is
// given the whole rate. No simulated day and no soak test has a listed service with a rate.
func TestCeiling(t *testing.T) {
	most := func(mutant rateShareMutant) (over, used float64) {
		for seed := range uint64(rateShareSeeds) {
			excess, share := simulateRateShares(seed, mutant)
			over, used = max(over, excess), used+share/rateShareSeeds
		}
		return over, used
	}
	Convey("While duties move and workers come and go, no window has more starts than the documented bound", t, func() {
		over, used := most(rateShareMutant{fence: rateShareFence})
		So(over, ShouldBeLessThanOrEqualTo, 0)
		So(used, ShouldBeGreaterThan, 0.1) // duties move all the time here
	})
	Convey("Some window has more if a share counts before an older one must have ended, or each holder takes the whole rate", t, func() {
		for _, mutant := range []rateShareMutant{{fence: 0}, {fence: rateShareFence, takesWholeRate: true}} {
			over, _ := most(mutant)
			So(over, ShouldBeGreaterThan, 0)
		}
	})
	Convey("An adapter that holds all duties steadily uses nearly the whole rate, and unused tokens do not accumulate", t, func() {
		a, duties := NewRateShare(rateShareFence, 0), map[string]config.AssignedDuty{}
		for i := range 6 {
			duties[fmt.Sprint("w", i)] = config.AssignedDuty{Term: 1}
		}
		a.Update(5, duties, len(duties), 0)
		count := func(from, to time.Duration) (starts int) {
			for now := from; now < to; now += rateShareStep {
				for a.Wait(now) == 0 {
					a.TakeToken()
					starts++
				}
			}
			return starts
		}
		So(count(0, rateShareFence), ShouldEqual, 0) // others may still act
		So(count(rateShareFence, rateShareFence+20*time.Second), ShouldBeBetweenOrEqual, 95, 101)
		So(count(time.Hour, time.Hour+time.Second), ShouldBeLessThanOrEqualTo, 7)
		So(a.Wait(time.Hour+time.Second), ShouldBeGreaterThan, 0)
	})
	Convey("A list that becomes shorter in steps raises the shares only when every adapter must have seen each step", t, func() {
		a, duties := NewRateShare(rateShareFence, 0), map[string]config.AssignedDuty{"w": {Duty: config.Duty{IsReleased: true}, Term: 1}}
		for _, step := range []struct {
			at     time.Duration
			listed int
			share  float64
		}{{0, 4, 0.25}, {time.Second, 2, 0.25}, {2 * time.Second, 1, 0.25}, {4 * time.Second, 1, 0.5}, {6900 * time.Millisecond, 1, 0.5}, {7 * time.Second, 1, 1}, {8 * time.Second, 5, 0.2}} {
			a.Update(10, duties, step.listed, step.at)
			So(a.perSecond(step.at), ShouldEqual, 10*step.share)
		}
	})
}
