package sim

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

// TestControlUnderFaults simulates a control plane under each fault.
func TestControlUnderFaults(t *testing.T) {
	runs := runParallel(ControlFaults, func(fault func(*Control)) *Control { return RunControl(1, fault) })
	Convey("A control plane", t, func() {
		for name, c := range runs {
			Convey("keeps its guarantees under "+name, func() {
				printTrace(name, c.Breaches, c.Trace)
				So(c.Breaches, ShouldBeEmpty)
				So(len(c.acked), ShouldBeGreaterThan, 10)
			})
		}
	})
}
