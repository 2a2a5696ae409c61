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

// TestIdleSession: an idle session once said something with each tick. A grown
// deployment has two thousand sessions, most of them idle.
func TestIdleSession(t *testing.T) {
	Convey("A session that is idle says one frame in two beats", t, func() {
		bounds := timing.Bounds{ConfigApply: 200 * time.Millisecond}
		node, err := NewNode(Options{Bounds: bounds})
		So(err, ShouldBeNil)
		near, far := net.Pipe()
		defer far.Close()
		s := node.newSession(wire.PlaceLink, near, wire.Who{}, wire.Version, 4096, true)
		defer s.down(errs.New(errs.Lost, "the test ends"))
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
	Convey("A session is never silent for longer than half of what its other end waits", t, func() {
		So(silentTicksLimit*keepAliveRatio*2, ShouldBeLessThanOrEqualTo, connectionTimeoutRatio)
		cases := []struct {
			name  string
			wrote []bool // a frame left before this beat
			due   []bool
		}{
			{"one that never had anything to say", []bool{false, false, false, false}, []bool{false, true, false, true}},
			{"one that has just said something", []bool{true, false, false, false}, []bool{false, true, false, true}},
			{"one that goes on speaking", []bool{true, true, true, true}, []bool{false, false, false, false}},
			{"one that falls silent", []bool{true, true, false, false}, []bool{false, false, true, false}},
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
	Convey("All sessions of a process beat at the same moments", t, func() {
		So(untilTick(0, 450), ShouldEqual, 450)
		So(untilTick(449, 450), ShouldEqual, 1)
		So(untilTick(450, 450), ShouldEqual, 450)
		So(untilTick(1000, 450), ShouldEqual, 350)
	})
}
