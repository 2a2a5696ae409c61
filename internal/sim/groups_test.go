package sim

import (
	"fmt"
	"strings"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

func TestGroupUnderFaults(t *testing.T) {
	Convey("A group of three", t, func() {
		for name, hurt := range GroupFaults {
			Convey("keeps its promises under "+name, func() {
				for seed := uint64(1); seed <= 2; seed++ {
					g := RunGroup(seed, hurt)
					if len(g.Broken) > 0 {
						fmt.Println("seed", seed, strings.Join(g.Trace, "\n"))
					}
					So(g.Broken, ShouldBeEmpty)
					So(len(g.Acked), ShouldBeGreaterThan, 100)
				}
				moved := RunMoves(1, hurt)
				So(moved.Broken, ShouldBeEmpty)
				So(len(moved.Acked), ShouldBeGreaterThan, 100)
			})
		}
	})
}
