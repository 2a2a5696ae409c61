package transport

import (
	"net"
	"runtime"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"caperwheel/internal/errs"
	"caperwheel/internal/wire"
)

// TestRoom guards against a slow link whose queue is bounded by the number of messages alone, so that
// thousands of large messages can fill a daemon's memory.
func TestRoom(t *testing.T) {
	Convey("Given a session whose peer reads nothing", t, func() {
		node, err := NewNode(Options{})
		So(err, ShouldBeNil)
		near, far := net.Pipe()
		defer far.Close()
		s := node.newSession(wire.PlaceLink, near, wire.Who{}, wire.Version, 4096, true)
		defer s.shutDown(errs.New(errs.Lost, "the test has ended"))
		peer := &Peer{node: node, link: wire.PlaceLink, session: s, pendingReplies: map[int64]func(any, error){}}
		So(peer.HasSendCapacity(1), ShouldBeTrue)
		post := func() error {
			return peer.Post(&wire.Take{Body: make([]byte, 64<<10)}, func(any, error) {})
		}
		Convey("requests are rejected once too many bytes wait", func() {
			accepted := 0
			for post() == nil {
				accepted++
			}
			So(accepted, ShouldEqual, queuedRequestBytesLimit/(64<<10))
			So(errs.Is(post(), errs.Full), ShouldBeTrue)
			So(peer.HasSendCapacity(queuedRequestBytesLimit), ShouldBeFalse)
			So(peer.HasSendCapacity(queuedRequestBytesLimit+1), ShouldBeTrue)
		})
		Convey("there is capacity again once they are written", func() {
			for post() == nil {
			}
			go func() {
				raw := make([]byte, 1<<20)
				for {
					if _, err := far.Read(raw); err != nil {
						return
					}
				}
			}()
			for !peer.HasSendCapacity(1) {
				runtime.Gosched()
			}
			So(post(), ShouldBeNil)
		})
	})
	Convey("Without a session there is no capacity", t, func() {
		So((&Peer{}).HasSendCapacity(1), ShouldBeFalse)
	})
}
