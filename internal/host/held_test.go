package host

import (
	"runtime"
	"testing"
	"time"
	"weak"

	. "github.com/smartystreets/goconvey/convey"

	"caperwheel/internal/group"
	"caperwheel/internal/slot"
	"caperwheel/internal/timing"
	"caperwheel/internal/wire"
)

// TestHeldIsLetGo: a replica once kept all that its disk held at the start for as long
// as it ran, beside its state.
func TestHeldIsLetGo(t *testing.T) {
	Convey("A replica that has read what its disk held keeps none of it besides", t, func() {
		held := &slot.Held{Hard: group.HardState{Term: 1}, Log: []wire.Entry{{Index: 1, Term: 1}}}
		kept := weak.Make(held)
		h, err := New(Options{Id: 1, Self: "a/0", Roster: []string{"a/0"}, Bounds: timing.Default, Held: held,
			Machine: &idleMachine{}, Now: func() time.Duration { return 0 }})
		So(err, ShouldBeNil)
		held = nil
		runtime.GC()
		So(kept.Value(), ShouldBeNil)
		runtime.KeepAlive(h)
	})
}
