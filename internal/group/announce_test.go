package group

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"caperwheel/internal/timing"
	"caperwheel/internal/wire"
)

// TestAnnouncedCommits guards against announcing each commit index by an append of its own at the next tick while new
// entries, which carry it as well, are sent all the time. That cost an append and an answer for each member and tick.
func TestAnnouncedCommits(t *testing.T) {
	tick := timing.Default.Of(timing.Tick)
	announced := func(out Output) (commits []int64) { // by appends without entries, to the member that has all
		for _, m := range out.SendNow {
			if m.Kind == MsgAppend && m.To == "a/0" && len(m.Entries) == 0 {
				commits = append(commits, m.Commit)
			}
		}
		return commits
	}
	Convey("Given an owner whose newest entry has just been sent and committed", t, func() {
		g := ownerWithAck(2)
		g.heartbeatAt = time.Hour // no heartbeat announces the commit
		g.Receive(wire.GroupMsg{Kind: MsgAppendReply, From: "a/0", To: "b/0", Term: 1, Round: 1, Index: g.last()}, time.Millisecond)
		So(g.hard.Commit, ShouldEqual, g.last())
		Convey("it waits a tick for new entries, and then announces the commit once", func() {
			So(announced(g.Tick(tick-1)), ShouldBeEmpty)
			So(announced(g.Tick(tick)), ShouldResemble, []int64{g.last()})
			So(announced(g.Tick(2*tick)), ShouldBeEmpty)
		})
		Convey("it does not announce commits while entries follow one another", func() {
			for now := tick / 2; now < 10*tick; now += tick / 2 {
				_, _, out, _ := g.Propose([]byte("y"), now)
				So(out.SendNow[0].Commit, ShouldEqual, g.hard.Commit)
				g.Synced(g.last(), 1, now)
				g.confirmedAt = now
				g.Receive(wire.GroupMsg{Kind: MsgAppendReply, From: "a/0", To: "b/0", Term: 1, Round: 1, Index: g.last()}, now+1)
				So(announced(g.Tick(now+2)), ShouldBeEmpty)
			}
		})
	})
}
