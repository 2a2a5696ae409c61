package sim

import (
	"fmt"
	"strings"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

func TestControlUnderFaults(t *testing.T) {
	Convey("A control plane", t, func() {
		for name, hurt := range ControlFaults {
			Convey("keeps its promises under "+name, func() {
				c := RunControl(1, hurt)
				if len(c.Broken) > 0 {
					fmt.Println(strings.Join(c.Trace, "\n"))
				}
				So(c.Broken, ShouldBeEmpty)
				So(len(c.acked), ShouldBeGreaterThan, 10)
			})
		}
	})
}
