package group

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"caperwheel/internal/wire"
)

// TestLeavingOwner guards against a crash: an owner that has just committed a roster without itself sent further
// entries to a member whose state it had already discarded.
func TestLeavingOwner(t *testing.T) {
	Convey("Given an owner that removes itself and accepts one more command", t, func() {
		g := ownerWithAck(2)
		_, err := g.ChangeRoster(Change{Drop: "b/0"}, 2*time.Millisecond)
		So(err, ShouldBeNil)
		g.Propose([]byte("y"), 2*time.Millisecond) // its entry is after the roster's
		g.Synced(4, 1, 2*time.Millisecond)
		g.Receive(wire.GroupMsg{Kind: MsgAppendReply, From: "a/0", To: "b/0", Term: 1, Round: 1, Index: 3}, 3*time.Millisecond)
		Convey("the answer that commits the roster ends its ownership, and nothing more is sent", func() {
			So(func() {
				g.Receive(wire.GroupMsg{Kind: MsgAppendReply, From: "c/0", To: "b/0", Term: 1, Round: 1, Index: 3}, 4*time.Millisecond)
			}, ShouldNotPanic)
			So(g.View().Role, ShouldEqual, Follower)
		})
	})
}
