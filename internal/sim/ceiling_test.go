package sim

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

// ceilingSeeds is the number of seeds run in continuous integration; more are swept by hand.
const ceilingSeeds = 12

// TestCeilingOfListedServices guards against a service that gets a multiple of its rate because each of its workers
// was given the whole rate. It runs all faults of the simulated deliveries, with adapters that freeze, thaw and
// lose duties.
func TestCeilingOfListedServices(t *testing.T) {
	Convey("No window has more runs than the ceiling, and without faults nearly the whole rate is used", t, func() {
		for seed := uint64(1); seed <= ceilingSeeds; seed++ {
			_, breaches := RunCeiling(seed, selectFaults(DeliveryFaults)...)
			So(breaches, ShouldBeEmpty)
		}
	})
}
