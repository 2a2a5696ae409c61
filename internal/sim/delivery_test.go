package sim

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"caperwheel/internal/check"
)

// TestDeliveriesUnderFaults simulates the whole path of a message under each fault.
func TestDeliveriesUnderFaults(t *testing.T) {
	type result struct {
		d        *Deliveries
		breaches []check.Breach
	}
	runs := runParallel(DeliveryFaults, func(fault func(*Deliveries)) result {
		d, breaches := RunDeliveries(1, fault)
		return result{d, breaches}
	})
	Convey("The path of a message", t, func() {
		for name, r := range runs {
			Convey("keeps the rules, and nothing is stranded, under "+name, func() {
				printTrace(name, r.breaches, r.d.Trace)
				So(r.breaches, ShouldBeEmpty)
				So(len(r.d.H.Runs), ShouldBeGreaterThan, 50)
			})
		}
	})
}
