package sim

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

func TestGroupUnderFaults(t *testing.T) {
	runs := runParallel(GroupFaults, func(hurt func(*ReplicaGroup)) []*ReplicaGroup {
		return []*ReplicaGroup{RunGroup(1, hurt), RunGroup(2, hurt), RunRosterChanges(1, hurt)}
	})
	Convey("A group of three, and one whose seats move,", t, func() {
		for name, list := range runs {
			Convey("keeps its promises under "+name, func() {
				acked := 0
				for _, g := range list {
					printTrace(name, g.Breaches, g.Trace)
					So(g.Breaches, ShouldBeEmpty)
					So(len(g.Acked), ShouldBeGreaterThan, 0)
					acked += len(g.Acked)
				}
				So(acked, ShouldBeGreaterThan, 100*len(list))
			})
		}
	})
}
