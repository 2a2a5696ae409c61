package group

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"caperwheel/internal/timing"
	"caperwheel/internal/wire"
)

// ownerWithAck returns "b/0" as the owner of three members. Its own log is synced, and "a/0" has acknowledged it up to
// an index.
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

// isPrompted reports whether an output asks "a/0" to start an election.
func isPrompted(out Output) bool {
	for _, m := range out.SendNow {
		if m.Kind == MsgCampaign && m.To == "a/0" {
			return true
		}
	}
	return false
}

// TestHandOver guards against an ownership transfer that works only if the successor has every entry at that moment. On
// a busy group it never does, and the transfer was dropped.
func TestHandOver(t *testing.T) {
	Convey("Given an owner whose successor lacks an entry", t, func() {
		g := ownerWithAck(1)
		successor := g.Successor(func(string) bool { return false }, 2*time.Millisecond)
		So(successor, ShouldEqual, "a/0")
		out := g.TransferOwnership(successor, 2*time.Millisecond)
		Convey("no proposals are accepted any more, and clients are redirected to the successor", func() {
			_, _, _, isOwner := g.Propose([]byte("y"), 3*time.Millisecond)
			So(isOwner, ShouldBeFalse)
			So(g.View().Owner, ShouldEqual, "a/0")
		})
		Convey("the successor is asked to start an election once it has all entries", func() {
			So(isPrompted(out), ShouldBeFalse)
			out = g.Receive(wire.GroupMsg{Kind: MsgAppendReply, From: "a/0", To: "b/0", Term: 1, Round: 1, Index: 2}, 3*time.Millisecond)
			So(isPrompted(out), ShouldBeTrue)
		})
		Convey("the owner steps down if the successor does not take over in time", func() {
			g.Tick(timing.Default.Of(timing.TransferTimeout) + 10*time.Millisecond)
			So(g.View().Role, ShouldNotEqual, Owner)
		})
	})
}

// TestMissing guards against waiting for the election timeout when the owner's process is known to have ended, as its
// port refuses connections.
func TestMissing(t *testing.T) {
	cases := []struct {
		name, missing string
		isSoon        bool
	}{
		{"the owner's store", "a", true},
		{"another store", "c", false},
	}
	Convey("A follower gets a report of the end of", t, func() {
		for _, c := range cases {
			Convey(c.name, func() {
				g := follower(trio, HardState{Term: 1}, nil)
				g.Receive(wire.GroupMsg{Kind: MsgAppend, From: "a/0", To: "b/0", Term: 1}, 0)
				g.ReportStoreDown(c.missing, time.Millisecond)
				So(g.hasOwner(2*time.Millisecond), ShouldEqual, !c.isSoon)
				out := g.Tick(timing.Default.Of(timing.Heartbeat) + 2*time.Millisecond)
				isCampaigning := false
				for _, m := range out.SendNow {
					isCampaigning = isCampaigning || m.Kind == MsgPreVote
				}
				So(isCampaigning, ShouldEqual, c.isSoon)
			})
		}
	})
}
