package sim

import (
	"fmt"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"caperwheel/internal/check"
	"caperwheel/internal/place"
)

// runMixedBuilds runs a place under faults with one store on an older build; at the given time that store is
// restarted with the current build. It returns the feature levels of the replicas at the end, when no message is
// remembered any more.
func runMixedBuilds(mutant Mutant, seed uint64, until time.Duration, faultNames ...string) (levels []int64, breaches []check.Breach) {
	p := newMixedPlaceCluster(NewWorld(seed), 3, mutant, func(name string) int64 {
		if name == "s3" {
			return 0
		}
		return place.NewestLevel
	})
	p.After(until, func() {
		p.stores[2].kill()
		p.stores[2].level = place.NewestLevel
		p.stores[2].start()
	})
	p.runTraffic(selectFaults(PlaceFaults, faultNames...))
	breaches = p.Finish()
	p.retention = time.Minute // until which no message may be remembered that was accepted at an older level
	p.rules = p.compile(defaultRunTimeout)
	p.Run(p.now + 2*p.retention)
	for _, s := range p.stores {
		levels = append(levels, s.place.Level())
	}
	return levels, breaches
}

// TestFeatureLevel covers feature levels: a changed meaning of commands is enabled through the group's log,
// and only after every replica of the roster has reported that it supports the new level.
func TestFeatureLevel(t *testing.T) {
	faultNames := []string{"killed stores", "handed over", "power loss of all", "stores cut off", "frozen stores", "killed adapters"}
	type result struct {
		levels   []int64
		breaches []check.Breach
	}
	seeds := map[string]uint64{"1": 1, "2": 2, "3": 3, "4": 4, "5": 5}
	upgraded := runParallel(seeds, func(seed uint64) result {
		levels, breaches := runMixedBuilds(NoMutant, seed, 20*time.Second, faultNames...)
		return result{levels, breaches}
	})
	stillMixed := runParallel(seeds, func(seed uint64) result {
		levels, breaches := runMixedBuilds(NoMutant, seed, time.Hour, faultNames...)
		return result{levels, breaches}
	})
	_, blind := runMixedBuilds(UncheckedLevels, 1, time.Hour, "nothing")
	Convey("In a fleet of two builds, in seed", t, func() {
		for name, r := range upgraded {
			Convey(name+" the level is raised once the older store runs the newer build", func() {
				So(r.breaches, ShouldBeEmpty)
				So(r.levels, ShouldResemble, []int64{place.NewestLevel, place.NewestLevel, place.NewestLevel})
			})
		}
		for name, r := range stillMixed {
			Convey(name+" the level is not raised while one store runs the older build", func() {
				So(r.breaches, ShouldBeEmpty)
				So(r.levels, ShouldResemble, []int64{0, 0, 0})
			})
		}
		Convey("an owner that does not check the level of its replicas is detected", func() {
			So(fmt.Sprint(blind), ShouldContainSubstring, "s3 got a command of level")
		})
	})
}
