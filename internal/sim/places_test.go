package sim

import (
	"fmt"
	"strings"
	"sync"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"caperwheel/internal/check"
)

// runParallel runs one simulation for each fault, all in parallel; each has a World of its own. The
// assertions follow one after another.
func runParallel[F, T any](faults map[string]F, run func(fault F) T) map[string]T {
	var mu sync.Mutex
	var group sync.WaitGroup
	out := map[string]T{}
	for name, fault := range faults {
		group.Add(1)
		go func() {
			defer group.Done()
			got := run(fault)
			mu.Lock()
			defer mu.Unlock()
			out[name] = got
		}()
	}
	group.Wait()
	return out
}

// printTrace prints the trace of a run that broke a rule.
func printTrace[B any](name string, broken []B, trace []string) {
	if len(broken) > 0 {
		fmt.Println(name, strings.Join(trace, "\n"))
	}
}

// TestPlaceUnderFaults runs a place under each of PlaceFaults alone.
func TestPlaceUnderFaults(t *testing.T) {
	type result struct {
		p        *PlaceCluster
		breaches []check.Breach
	}
	runs := runParallel(PlaceFaults, func(fault func(*PlaceCluster)) result {
		p, breaches := RunPlaceCluster(1, fault)
		return result{p, breaches}
	})
	Convey("A place with its stores and adapters", t, func() {
		for name, r := range runs {
			Convey("keeps the rules under "+name, func() {
				printTrace(name, r.breaches, r.p.Trace)
				So(r.breaches, ShouldBeEmpty)
				So(len(r.p.History.Runs), ShouldBeGreaterThan, 100)
			})
		}
	})
}

// maxPlaceMutantSeeds is the upper bound on the number of seeds needed to detect a place's mutant.
const maxPlaceMutantSeeds = 60

// TestPlaceTimeAcrossOwners guards against delays and deadlines that end early: a replica kept its own count
// of the place's group time when that was ahead of the owner's. After it became the owner, delays and
// message time-outs ended up to seconds early.
func TestPlaceTimeAcrossOwners(t *testing.T) {
	faultNames := []string{"no majority", "handed over", "power loss of all"}
	seeds := map[string]uint64{"13": 13, "31": 31, "36": 36}
	runs := runParallel(seeds, func(seed uint64) []check.Breach {
		_, breaches := RunPlaceCluster(seed, selectFaults(PlaceFaults, faultNames...)...)
		return breaches
	})
	mutant := ""
	for seed := uint64(1); seed <= maxPlaceMutantSeeds && !strings.Contains(mutant, "before its delay of"); seed++ {
		_, breaches := RunPlaceClusterMutant(LocalGroupTime, seed, selectFaults(PlaceFaults, faultNames[:2]...)...)
		mutant = fmt.Sprint(breaches)
	}
	Convey("No delay or deadline in group time ends early, in seed", t, func() {
		for name, breaches := range runs {
			Convey(name, func() { So(breaches, ShouldBeEmpty) })
		}
	})
	Convey("With a replica's own count of group time a run starts before its delay, and group time is ahead of real time", t, func() {
		So(mutant, ShouldContainSubstring, "more than real time")
		So(mutant, ShouldContainSubstring, "before its delay of")
	})
}

// TestRunsOutliveTheConfiguration guards against two concurrent runs of one ordering key: an owner waited
// for a lost run for as long as the newest configuration's time-out required instead of the run's own, and
// started the next message of the key meanwhile.
func TestRunsOutliveTheConfiguration(t *testing.T) {
	faults := selectFaults(PlaceFaults, "changed bounds", "stalled workers", "quick restarts")
	runs := runParallel(map[string]uint64{"2": 2, "44": 44, "80": 80, "298": 298}, func(seed uint64) []check.Breach {
		_, breaches := RunPlaceCluster(seed, faults...)
		return breaches
	})
	Convey("No two messages of an ordering key run at once while time-outs change, in seed", t, func() {
		for name, breaches := range runs {
			Convey(name, func() { So(breaches, ShouldBeEmpty) })
		}
	})
}

// TestReplacedOwnerTellsNothingOld guards against stale answers from a replaced owner: it answered queries
// for a while after its last confirmation, although a successor had become owner at once, either called by
// the old owner itself or because it took the old owner for stopped. The old owner did not have a message
// that had just been accepted.
func TestReplacedOwnerTellsNothingOld(t *testing.T) {
	type seeds struct {
		fault string
		list  []uint64
	}
	unheard, gone := "handed over unheard", "taken for gone"
	runs := runParallel(map[string]seeds{unheard: {unheard, []uint64{1, 2, 3}}, gone: {gone, []uint64{1, 3, 9}}}, func(s seeds) []check.Breach {
		out := []check.Breach{}
		for _, seed := range s.list {
			_, breaches := RunPlaceCluster(seed, selectFaults(PlaceFaults, s.fault)...)
			out = append(out, breaches...)
		}
		return out
	})
	Convey("The reported state of a message never regresses when its owner is replaced, under", t, func() {
		for name, breaches := range runs {
			Convey(name, func() { So(breaches, ShouldBeEmpty) })
		}
	})
}

// TestSeedsReplayExactly guards against runs that a seed does not determine: two parallel runs of one seed
// must give the same trace.
func TestSeedsReplayExactly(t *testing.T) {
	Convey("The same seed gives the same trace", t, func() {
		traces := runParallel(map[string]bool{"once": true, "again": true}, func(bool) []string {
			p, _ := RunPlaceCluster(7, selectFaults(PlaceFaults)...)
			return p.Trace
		})
		So(len(traces["once"]), ShouldBeGreaterThan, 500)
		So(strings.Join(traces["once"], "\n"), ShouldEqual, strings.Join(traces["again"], "\n"))
	})
}
