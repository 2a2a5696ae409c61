package sim

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

// TestGroupUnderFaults simulates a group, with fixed and with changing members, under each fault.
func TestGroupUnderFaults(t *testing.T) {
	runs := runParallel(GroupFaults, func(fault func(*ReplicaGroup)) []*ReplicaGroup {
		return []*ReplicaGroup{RunGroup(1, fault), RunGroup(2, fault), RunRosterChanges(1, fault)}
	})
	Convey("A group of three, and one whose members change,", t, func() {
		for name, list := range runs {
			Convey("keeps its guarantees under "+name, func() {
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
