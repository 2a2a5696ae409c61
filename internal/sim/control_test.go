package sim

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

func TestControlUnderFaults(t *testing.T) {
	runs := atOnce(ControlFaults, func(hurt func(*Control)) *Control { return RunControl(1, hurt) })
	Convey("A control plane", t, func() {
		for name, c := range runs {
			Convey("keeps its promises under "+name, func() {
				show(name, c.Broken, c.Trace)
				So(c.Broken, ShouldBeEmpty)
				So(len(c.acked), ShouldBeGreaterThan, 10)
			})
		}
	})
}
