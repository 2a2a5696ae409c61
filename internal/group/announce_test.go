package group

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"caperwheel/internal/timing"
	"caperwheel/internal/wire"
)

// TestAnnouncedCommits: an owner once told of each commit at the next tick, an append
// and an answer for each member, though new entries that tell it went out all the time.
func TestAnnouncedCommits(t *testing.T) {
	tick := timing.Default.Of(timing.Tick)
	told := func(out Output) (commits []int64) { // by appends without entries, to the member that has all
		for _, m := range out.SendNow {
			if m.Kind == MsgAppend && m.To == "a/0" && len(m.Entries) == 0 {
				commits = append(commits, m.Commit)
			}
		}
		return commits
	}
	Convey("Given an owner that has just sent an entry which is committed", t, func() {
		g := ownerWithAck(2)
		g.heartbeatAt = time.Hour // no heartbeat tells it
		g.Receive(wire.GroupMsg{Kind: MsgAppendReply, From: "a/0", To: "b/0", Term: 1, Round: 1, Index: g.last()}, time.Millisecond)
		So(g.hard.Commit, ShouldEqual, g.last())
		Convey("it waits for a tick for entries that tell it, and then tells it once", func() {
			So(told(g.Tick(tick-1)), ShouldBeEmpty)
			So(told(g.Tick(tick)), ShouldResemble, []int64{g.last()})
			So(told(g.Tick(2*tick)), ShouldBeEmpty)
		})
		Convey("it tells nothing by itself while entries follow one another", func() {
			for now := tick / 2; now < 10*tick; now += tick / 2 {
				_, _, out, _ := g.Propose([]byte("y"), now)
				So(out.SendNow[0].Commit, ShouldEqual, g.hard.Commit)
				g.Synced(g.last(), 1, now)
				g.confirmedAt = now
				g.Receive(wire.GroupMsg{Kind: MsgAppendReply, From: "a/0", To: "b/0", Term: 1, Round: 1, Index: g.last()}, now+1)
				So(told(g.Tick(now+2)), ShouldBeEmpty)
			}
		})
	})
}
