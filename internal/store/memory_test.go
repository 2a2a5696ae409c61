package store

import (
	"runtime"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"caperwheel/internal/place"
	"caperwheel/internal/wire"
)

// TestTightMemoryRejectsIntakeOnly guards against a store running out of memory: each place limits only its own
// messages, so the backlog of all places can exceed the memory although no place is full.
func TestTightMemoryRejectsIntakeOnly(t *testing.T) {
	Convey("Given a store whose memory is nearly used up", t, func() {
		b, e := startedHarness("l")
		b.isMemoryLow = true
		take := func(id string) *wire.Taken {
			var answer *wire.Taken
			b.place.Take(&wire.Take{Id: id, Lane: "l"}, func(reply any) { answer = reply.(*wire.Taken) })
			b.commit(true)
			return answer
		}
		Convey("nothing more is accepted, and callers may retry soon", func() {
			So(take("0-y").Kind, ShouldEqual, "full")
			So(take("0-y").Retry, ShouldBeBetween, 0, 5000)
		})
		Convey("a repeat of a held message is reported as accepted", func() {
			So(take("0-x").Kind, ShouldEqual, "")
		})
		Convey("held messages come to their end", func() {
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
		{"a heap above its share", 130 << 20, 300 << 20, true},
		{"a store without a known memory limit", 1 << 40, 0, false},
	}
	Convey("Whether memory is low, with", t, func() {
		for _, c := range cases {
			Convey(c.name, func() { So(isMemoryLow(c.live, c.memory), ShouldEqual, c.isTight) })
		}
	})
	Convey("The live heap grows with the memory held", t, func() {
		runtime.GC()
		before := liveHeapBytes()
		held := make([]byte, 32<<20)
		runtime.GC()
		So(liveHeapBytes()-before, ShouldBeGreaterThan, 16<<20)
		runtime.KeepAlive(held)
	})
}
