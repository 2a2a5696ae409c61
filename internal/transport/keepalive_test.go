package transport

import (
	"io"
	"net"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"caperwheel/internal/errs"
	"caperwheel/internal/timing"
	"caperwheel/internal/wire"
)

// TestIdleSession guards against idle sessions that send a frame on every tick: a large deployment has two
// thousand sessions, most of them idle.
func TestIdleSession(t *testing.T) {
	Convey("An idle session sends one frame in two ticks", t, func() {
		bounds := timing.Bounds{ConfigApply: 200 * time.Millisecond}
		node, err := NewNode(Options{Bounds: bounds})
		So(err, ShouldBeNil)
		near, far := net.Pipe()
		defer far.Close()
		s := node.newSession(wire.PlaceLink, near, wire.Who{}, wire.Version, 4096, true)
		defer s.shutDown(errs.New(errs.Lost, "the test has ended"))
		raw := make([]byte, frameHeaderSize+4)
		_, err = io.ReadFull(far, raw)
		So(err, ShouldBeNil)
		const frames = 4
		began := time.Now()
		for range frames {
			_, err := io.ReadFull(far, raw)
			So(err, ShouldBeNil)
		}
		So(time.Since(began), ShouldBeGreaterThan, (2*frames-1)*bounds.Of(keepAliveRatio))
	})
	Convey("A session is never silent for longer than half of the connection timeout", t, func() {
		So(silentTicksLimit*keepAliveRatio*2, ShouldBeLessThanOrEqualTo, connectionTimeoutRatio)
		cases := []struct {
			name  string
			wrote []bool // whether a frame was written before this tick
			due   []bool
		}{
			{"one that never sends a message", []bool{false, false, false, false}, []bool{false, true, false, true}},
			{"one that has just sent a frame", []bool{true, false, false, false}, []bool{false, true, false, true}},
			{"one that keeps sending", []bool{true, true, true, true}, []bool{false, false, false, false}},
			{"one that stops sending", []bool{true, true, false, false}, []bool{false, false, true, false}},
		}
		for _, c := range cases {
			idle, due := keepAliveTracker{}, []bool{}
			for _, isWritten := range c.wrote {
				if isWritten {
					idle.frameWritten()
				}
				isDue := idle.tick()
				if isDue {
					idle.frameWritten()
				}
				due = append(due, isDue)
			}
			So(due, ShouldResemble, c.due)
		}
	})
	Convey("The ticks of all sessions of a process coincide", t, func() {
		So(untilTick(0, 450), ShouldEqual, 450)
		So(untilTick(449, 450), ShouldEqual, 1)
		So(untilTick(450, 450), ShouldEqual, 450)
		So(untilTick(1000, 450), ShouldEqual, 350)
	})
}
