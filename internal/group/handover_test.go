package group

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"caperwheel/internal/timing"
	"caperwheel/internal/wire"
)

// ownerWithAck gives an owner of three whose own log is synced and whose peer "a/0"
// has answered up to an index.
func ownerWithAck(upTo int64) *Group {
	g := follower(trio, HardState{}, nil)
	var out Output
	g.become(Candidate, 1, "", 0, &out)
	g.become(Owner, 1, "b/0", 0, &out)
	g.Propose([]byte("x"), 0)
	g.Synced(g.last(), 1, 0)
	g.Receive(wire.GroupMsg{Kind: MsgAppendReply, From: "a/0", To: "b/0", Term: 1, Round: 1, Index: upTo}, time.Millisecond)
	return g
}

func isPrompted(out Output) bool {
	for _, m := range out.SendNow {
		if m.Kind == MsgCampaign && m.To == "a/0" {
			return true
		}
	}
	return false
}

// TestHandOver: an owner once handed over only if its successor happened to have
// every entry, which a busy group's successor never has; it was dropped instead.
func TestHandOver(t *testing.T) {
	Convey("Given an owner whose heir misses an entry", t, func() {
		g := ownerWithAck(1)
		successor := g.Successor(func(string) bool { return false }, 2*time.Millisecond)
		So(successor, ShouldEqual, "a/0")
		out := g.TransferOwnership(successor, 2*time.Millisecond)
		Convey("nothing is proposed any more, and whoever asks is sent to the heir", func() {
			_, _, _, isOwner := g.Propose([]byte("y"), 3*time.Millisecond)
			So(isOwner, ShouldBeFalse)
			So(g.View().Owner, ShouldEqual, "a/0")
		})
		Convey("the heir is called once it has all", func() {
			So(isPrompted(out), ShouldBeFalse)
			out = g.Receive(wire.GroupMsg{Kind: MsgAppendReply, From: "a/0", To: "b/0", Term: 1, Round: 1, Index: 2}, 3*time.Millisecond)
			So(isPrompted(out), ShouldBeTrue)
		})
		Convey("one that does not take over in time has the owner step down", func() {
			g.Tick(timing.Default.Of(timing.TransferTimeout) + 10*time.Millisecond)
			So(g.View().Role, ShouldNotEqual, Owner)
		})
	})
}

// TestMissing: a killed owner was once missed only for its silence, though its
// port refused connections at once.
func TestMissing(t *testing.T) {
	cases := []struct {
		name, missing string
		isSoon        bool
	}{
		{"the owner's store", "a", true},
		{"another store", "c", false},
	}
	Convey("A follower that hears of the end of", t, func() {
		for _, c := range cases {
			Convey(c.name, func() {
				g := follower(trio, HardState{Term: 1}, nil)
				g.Receive(wire.GroupMsg{Kind: MsgAppend, From: "a/0", To: "b/0", Term: 1}, 0)
				g.ReportStoreDown(c.missing, time.Millisecond)
				So(g.hasOwner(2*time.Millisecond), ShouldEqual, !c.isSoon)
				out := g.Tick(timing.Default.Of(timing.Heartbeat) + 2*time.Millisecond)
				isAsking := false
				for _, m := range out.SendNow {
					isAsking = isAsking || m.Kind == MsgPreVote
				}
				So(isAsking, ShouldEqual, c.isSoon)
			})
		}
	})
}
