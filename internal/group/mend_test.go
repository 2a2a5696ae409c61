package group

import (
	"maps"
	"slices"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"caperwheel/internal/timing"
	"caperwheel/internal/wire"
)

// ownerOf returns "b/0" as the owner of a roster, whose whole log the peers in answering have acknowledged.
func ownerOf(roster []string, answering ...string) *Group {
	g := follower(roster, HardState{}, nil)
	var out Output
	g.become(Candidate, 1, "", 0, &out)
	g.become(Owner, 1, "b/0", 0, &out)
	g.Synced(g.last(), 1, 0)
	for _, m := range answering {
		g.Receive(wire.GroupMsg{Kind: MsgAppendReply, From: m, To: "b/0", Term: 1, Round: 1, Index: g.last()}, time.Millisecond)
	}
	return g
}

// TestMend checks the next step towards a wanted roster.
func TestMend(t *testing.T) {
	here := map[string]string{"a": "a/0", "b": "b/0", "c": "c/0", "d": "d/0", "e": "e/0"}
	without := func(names ...string) map[string]string {
		out := maps.Clone(here)
		for _, name := range names {
			delete(out, name)
		}
		return out
	}
	abcd := []string{"a/0", "b/0", "c/0", "d/0"}
	abcde := append(slices.Clone(abcd), "e/0")
	cases := []struct {
		name   string
		roster []string
		known  map[string]string
		wanted []string
		want   Change
	}{
		{"none where the roster is as wanted", trio, here, []string{"a", "b", "c"}, Change{}},
		{"the replacement of a lost store is added as a learner first", trio, without("a"), []string{"b", "c", "d"}, Change{Learn: "d/0"}},
		{"it becomes a voter once it has caught up", []string{"a/0", "b/0", "c/0", "~d/0"}, without("a"), []string{"b", "c", "d"}, Change{Promote: "d/0"}},
		{"then the lost store is removed", abcd, without("a"), []string{"b", "c", "d"}, Change{Drop: "a/0"}},
		{"a wanted store that is absent counts as a voter, so a lost one can be removed", abcde, without("a", "c"), []string{"b", "c", "d", "e"}, Change{Drop: "a/0"}},
		{"but not one that responds: its copy may be needed", abcd, without("c"), []string{"b", "c", "d"}, Change{}},
		{"a learner that is no longer wanted is removed", []string{"a/0", "b/0", "c/0", "~d/0"}, here, []string{"a", "b", "c"}, Change{Drop: "d/0"}},
		{"a store that came back with an empty disk loses its vote", trio, map[string]string{"a": "a/1", "b": "b/0", "c": "c/0"}, []string{"a", "b", "c"}, Change{Drop: "a/0"}},
	}
	Convey("The next step is", t, func() {
		for _, c := range cases {
			Convey(c.name, func() {
				answering := slices.DeleteFunc(slices.Collect(maps.Values(c.known)), func(id string) bool { return id == "b/0" })
				got, isDue := ownerOf(c.roster, answering...).Repair(c.known, c.wanted)
				So(got, ShouldResemble, c.want)
				So(isDue, ShouldEqual, c.want != Change{})
			})
		}
	})
}

// TestMendKeepsWhoAnswers guards against removing a member that responds because of a late report of an older
// incarnation of its store. The newer incarnation had become a voter under another owner.
func TestMendKeepsWhoAnswers(t *testing.T) {
	Convey("Given an owner that got a report of an older incarnation of a member", t, func() {
		g := ownerOf([]string{"a/2", "b/0", "c/0"}, "a/2", "c/0")
		g.Receive(wire.GroupMsg{Kind: MsgWrongIncarnation, From: "a/1", To: "b/0"}, 0)
		_, isDue := g.Repair(map[string]string{"a": "a/1", "b": "b/0", "c": "c/0"}, []string{"a", "b", "c"})
		So(isDue, ShouldBeFalse)
	})
}

// TestCaughtUp guards against requiring a learner to have every committed entry: on a busy group it never does, and
// would become a voter only in a lull.
func TestCaughtUp(t *testing.T) {
	Convey("Given a learner that has all that was committed when the last heartbeat round was sent", t, func() {
		g := ownerOf([]string{"b/0", "c/0", "~d/0"}, "c/0", "d/0")
		g.Tick(timing.Default.Of(timing.Heartbeat))
		g.Propose([]byte("x"), 0)
		g.Synced(g.last(), 1, 0)
		g.Receive(wire.GroupMsg{Kind: MsgAppendReply, From: "c/0", To: "b/0", Term: 1, Round: 2, Index: g.last()}, time.Millisecond)
		So(g.View().Commit, ShouldEqual, g.last())
		So(g.isCaughtUp("d/0"), ShouldBeTrue)
		Convey("it is not caught up after the next round until it has what was committed by then", func() {
			g.Tick(2 * timing.Default.Of(timing.Heartbeat))
			So(g.isCaughtUp("d/0"), ShouldBeFalse)
		})
	})
}
