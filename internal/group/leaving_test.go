package group

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"caperwheel/internal/wire"
)

// TestLeavingOwner: an owner that had just committed a roster without itself
// once went on sending to whom it had stopped to know, and its store died.
func TestLeavingOwner(t *testing.T) {
	Convey("Given an owner that drops itself and takes one more command", t, func() {
		g := ownerWithAck(2)
		_, err := g.ChangeRoster(Change{Drop: "b/0"}, 2*time.Millisecond)
		So(err, ShouldBeNil)
		g.Propose([]byte("y"), 2*time.Millisecond) // comes after the roster
		g.Synced(4, 1, 2*time.Millisecond)
		g.Receive(wire.GroupMsg{Kind: MsgAppendReply, From: "a/0", To: "b/0", Term: 1, Round: 1, Index: 3}, 3*time.Millisecond)
		Convey("the word by which the roster is committed ends its ownership, and no more is sent", func() {
			So(func() {
				g.Receive(wire.GroupMsg{Kind: MsgAppendReply, From: "c/0", To: "b/0", Term: 1, Round: 1, Index: 3}, 4*time.Millisecond)
			}, ShouldNotPanic)
			So(g.View().Role, ShouldEqual, Follower)
		})
	})
}
