package sim

import (
	"strings"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

// keySeeds is the number of seeds run in continuous integration; larger sweeps are run by hand.
const keySeeds = 20

// TestOperationKeysRunOnce guards against double execution: two sends of a tenant with one operation key
// both ran, because the second reached its place after the final state of the first had been deleted.
func TestOperationKeysRunOnce(t *testing.T) {
	play := func(mutant Mutant) (found string, worlds int) {
		for seed := uint64(1); seed <= keySeeds && found == ""; seed++ {
			found = strings.Join(RunOperationKeysMutant(mutant, seed, selectFaults(PlaceFaults)...).Breaches, "\n")
			worlds++
		}
		return found, worlds
	}
	Convey("Each operation runs once while stores are frozen, cut off and killed and owners change", t, func() {
		found, worlds := play(NoMutant)
		So(found, ShouldBeEmpty)
		So(worlds, ShouldEqual, keySeeds)
	})
	Convey("Double runs are detected if final states are kept for the key window only, or each send has an id of its own", t, func() {
		for _, mutant := range []Mutant{ShortRetention, NewIdForRetry} {
			found, _ := play(mutant)
			So(found, ShouldContainSubstring, "TWICE")
		}
	})
}
