package sim

import (
	"fmt"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

// TestStopsOfAll: stores that were asked to stop went within 70 ms, whoever else was stopping; what fronts that were
// asked to stop at the same moment still held could be made durable by nobody, and ran again after the start. Seed 744 of the soak
// found it.
func TestStopsOfAll(t *testing.T) {
	seeds := map[string]uint64{}
	for seed := range uint64(20) {
		seeds[fmt.Sprint(seed+1)] = seed + 1
	}
	type result struct {
		breaches, trace []string
		runs            int
	}
	runs := atOnce(seeds, func(seed uint64) result {
		d, breaches := RunStops(seed)
		out := result{trace: d.Trace, runs: len(d.runs)}
		for _, b := range breaches {
			out.breaches = append(out.breaches, b.Text)
		}
		return out
	})
	Convey("No success runs again when stores and adapters stop together, in seed", t, func() {
		for name, r := range runs {
			Convey(name, func() {
				So(r.breaches, ShouldBeEmpty)
				So(r.runs, ShouldBeGreaterThan, 100)
			})
		}
	})
}
