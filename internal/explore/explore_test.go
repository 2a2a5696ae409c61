package explore

import (
	"fmt"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

// Bounds of the tests; `fleet check` has larger ones.
const (
	testStates = 250
	testWalks  = 16
	testSteps  = 300
)

// TestGroupExplored checks that the first states of every scenario satisfy the invariants.
func TestGroupExplored(t *testing.T) {
	type search struct {
		name string
		Result
	}
	results := []search{} // outside of Convey, which runs its body again for each leaf
	for _, members := range []int{3, 4} {
		for _, s := range Scenarios(members) {
			results = append(results, search{fmt.Sprintf("%s, %d members", s.Name, members), Search(&s.Options, s.Depth, testStates)})
		}
	}
	Convey("No state of a group violates an invariant", t, func() {
		for _, r := range results {
			Println(r.name, r.Result.String())
			So(r.Breach, ShouldBeEmpty)
			So(r.States, ShouldBeGreaterThan, 10)
		}
	})
}

// TestGroupWalked checks the invariants on a few random walks, which reach deeper states than the searches.
func TestGroupWalked(t *testing.T) {
	Convey("On random walks", t, func() {
		for seed := range uint64(testWalks) {
			r := Walk(UnrestrictedOptions(3+int(seed%2), 1, seed), seed, testSteps)
			So(r.Breach, ShouldBeEmpty)
			So(r.Events, ShouldEqual, testSteps)
		}
	})
}

// TestSameSeed checks that searches are deterministic. A breach could not be reproduced otherwise.
func TestSameSeed(t *testing.T) {
	Convey("The same search twice finds the same number of states", t, func() {
		for _, s := range Scenarios(3) {
			So(Search(&s.Options, 5, 100).States, ShouldEqual, Search(&s.Options, 5, 100).States)
		}
	})
}
