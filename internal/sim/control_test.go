package sim

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

func TestControlUnderFaults(t *testing.T) {
	runs := runParallel(ControlFaults, func(hurt func(*Control)) *Control { return RunControl(1, hurt) })
	Convey("A control plane", t, func() {
		for name, c := range runs {
			Convey("keeps its promises under "+name, func() {
				printTrace(name, c.Breaches, c.Trace)
				So(c.Breaches, ShouldBeEmpty)
				So(len(c.acked), ShouldBeGreaterThan, 10)
			})
		}
	})
}
