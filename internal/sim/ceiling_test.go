package sim

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

// ceilingSeeds are those played in continuous integration; more are swept by hand.
const ceilingSeeds = 12

// TestCeilingOfListedServices guards against a service that gets a multiple of its rate, since each of its workers was given the
// whole: through all faults of the simulated deliveries, with adapters that freeze, thaw and lose duties.
func TestCeilingOfListedServices(t *testing.T) {
	Convey("No window has more runs than the ceiling, and in calm nearly the whole rate is used", t, func() {
		for seed := uint64(1); seed <= ceilingSeeds; seed++ {
			_, breaches := RunCeiling(seed, selectFaults(DeliveryFaults)...)
			So(breaches, ShouldBeEmpty)
		}
	})
}
