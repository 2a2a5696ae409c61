package group

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"caperwheel/internal/wire"
)

// TestLevel checks which feature level all members can apply, and that a learner needs it to become a voter.
func TestLevel(t *testing.T) {
	report := func(g *Group, level int64, from ...string) {
		for _, m := range from {
			g.Receive(wire.GroupMsg{Kind: MsgAppendReply, From: m, To: "b/0", Term: 1, Round: 1, Index: g.last(), Level: level}, time.Millisecond)
		}
	}
	cases := []struct {
		text    string
		reports func(g *Group)
		want    int64
	}{
		{"none while a member has reported nothing", func(g *Group) { report(g, 2, "a/0") }, 0},
		{"none while a member is of an older build", func(g *Group) { report(g, 2, "a/0"); report(g, 0, "c/0") }, 0},
		{"the lowest of all", func(g *Group) { report(g, 2, "a/0"); report(g, 1, "c/0") }, 1},
		{"no more than the owner's own", func(g *Group) { report(g, 9, "a/0", "c/0") }, 2},
		{"the last report of each: a member may come back as an older build", func(g *Group) { report(g, 2, "a/0", "c/0"); report(g, 0, "a/0") }, 0},
	}
	Convey("All members of a group can apply", t, func() {
		for _, c := range cases {
			Convey(c.text, func() {
				g := ownerOf(trio)
				g.opts.SupportedLevel = 2
				c.reports(g)
				So(g.View().CommonLevel, ShouldEqual, c.want)
			})
		}
		Convey("none once there is a learner that has reported nothing", func() {
			g := ownerOf(append([]string{"~d/0"}, trio...))
			g.opts.SupportedLevel = 2
			report(g, 2, "a/0", "c/0")
			So(g.View().CommonLevel, ShouldEqual, 0)
		})
	})
	Convey("A learner becomes a voter", t, func() {
		g := ownerOf(append([]string{"~d/0"}, trio...), "a/0", "c/0")
		g.opts.SupportedLevel, g.opts.RequiredLevel = 2, func() int64 { return 1 }
		known, wanted := map[string]string{"a": "a/0", "b": "b/0", "c": "c/0", "d": "d/0"}, []string{"a", "b", "c", "d"}
		Convey("not while it does not support the group's feature level", func() {
			report(g, 0, "d/0")
			change, isDue := g.Repair(known, wanted)
			So(isDue, ShouldBeFalse)
			So(change, ShouldResemble, Change{})
			_, err := g.ChangeRoster(Change{Promote: "d/0"}, time.Millisecond)
			So(err, ShouldNotBeNil)
		})
		Convey("once it supports it", func() {
			report(g, 1, "d/0")
			change, isDue := g.Repair(known, wanted)
			So(isDue, ShouldBeTrue)
			So(change, ShouldResemble, Change{Promote: "d/0"})
		})
	})
}
