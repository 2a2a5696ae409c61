package sim

import (
	"strings"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

// keySeeds are those played in continuous integration; more are swept by hand.
const keySeeds = 20

// TestOperationKeysRunOnce guards against TWICE: two sends of a tenant with one operation key both ran, the second
// brought to its place after the end of the first was forgotten.
func TestOperationKeysRunOnce(t *testing.T) {
	play := func(mutant Mutant) (found string, worlds int) {
		for seed := uint64(1); seed <= keySeeds && found == ""; seed++ {
			found = strings.Join(RunOperationKeysMutant(mutant, seed, selectFaults(PlaceFaults)...).Breaches, "\n")
			worlds++
		}
		return found, worlds
	}
	Convey("Of each operation one send runs, through frozen, cut and killed stores and owners that change", t, func() {
		found, worlds := play(NoMutant)
		So(found, ShouldBeEmpty)
		So(worlds, ShouldEqual, keySeeds)
	})
	Convey("It does not where an end is kept for the window alone, or fronts name each send anew", t, func() {
		for _, mutant := range []Mutant{ShortRetention, NewIdForRetry} {
			found, _ := play(mutant)
			So(found, ShouldContainSubstring, "TWICE")
		}
	})
}
