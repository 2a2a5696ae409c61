package store

import (
	"runtime"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"caperwheel/internal/place"
	"caperwheel/internal/wire"
)

// TestTightMemoryRejectsIntakeOnly: places were bounded each by itself, and a backlog
// that none of them minded had their store killed over its memory.
func TestTightMemoryRejectsIntakeOnly(t *testing.T) {
	Convey("Given a store whose memory is nearly used up", t, func() {
		b, e := startedHarness("l")
		b.isTight = true
		take := func(id string) *wire.Taken {
			var answer *wire.Taken
			b.place.Take(&wire.Take{Id: id, Lane: "l"}, func(reply any) { answer = reply.(*wire.Taken) })
			b.commit(true)
			return answer
		}
		Convey("nothing more is taken, and callers may come again soon", func() {
			So(take("0-y").Kind, ShouldEqual, "full")
			So(take("0-y").Retry, ShouldBeBetween, 0, 5000)
		})
		Convey("what is held already is told as held", func() {
			So(take("0-x").Kind, ShouldEqual, "")
		})
		Convey("what is held comes to its end", func() {
			b.place.Outcome(&wire.Outcome{Id: "0-x", Proof: wire.Proof{Attempt: 1}}, func(any) {})
			b.commit(true)
			So(e.State, ShouldEqual, place.Ended)
		})
	})
}

func TestTight(t *testing.T) {
	cases := []struct {
		name         string
		live, memory int64
		isTight      bool
	}{
		{"a heap within its share", 100 << 20, 300 << 20, false},
		{"a heap past its share", 130 << 20, 300 << 20, true},
		{"a store that knows no bound", 1 << 40, 0, false},
	}
	Convey("Memory is tight or not with", t, func() {
		for _, c := range cases {
			Convey(c.name, func() { So(isMemoryLow(c.live, c.memory), ShouldEqual, c.isTight) })
		}
	})
	Convey("The live heap grows with what is held", t, func() {
		runtime.GC()
		before := liveHeapBytes()
		held := make([]byte, 32<<20)
		runtime.GC()
		So(liveHeapBytes()-before, ShouldBeGreaterThan, 16<<20)
		runtime.KeepAlive(held)
	})
}
