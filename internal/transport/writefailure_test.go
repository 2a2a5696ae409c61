package transport

import (
	"net"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"caperwheel/internal/errs"
	"caperwheel/internal/timing"
	"caperwheel/internal/wire"
)

// brokenConn is a connection on which every write fails.
type brokenConn struct{ net.Conn }

func (brokenConn) Write([]byte) (int, error) { return 0, errs.New(errs.Lost, "broken") }

// TestSessionThatCannotWrite guards against a session that breaks at its first frame and is closed by a
// goroutine that does not see all of its fields: the writing goroutine was started before the session had
// its outbox. The race detector shows it.
func TestSessionThatCannotWrite(t *testing.T) {
	Convey("A session whose first frame cannot be written is closed, and its close callback is called", t, func() {
		node, err := NewNode(Options{Bounds: timing.Bounds{ConfigApply: 30 * time.Millisecond}, Self: wire.Who{Name: "a"}})
		So(err, ShouldBeNil)
		defer node.Close()
		for range 20 {
			near, far := net.Pipe()
			down := make(chan error, 1)
			s := node.newSession(wire.PlaceLink, brokenConn{near}, wire.Who{Name: "b"}, wire.Version, 9, false)
			s.notifyClose(func(cause error) { down <- cause })
			So(errs.Is(<-down, errs.Lost), ShouldBeTrue)
			So(s.isAlive.Load(), ShouldBeFalse)
			So(far.Close(), ShouldBeNil)
		}
	})
}
