package store

import (
	"fmt"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"caperwheel/internal/timing"
	"caperwheel/internal/wire"
)

// TestRecallByView: an owner asks the adapters that its view names, and knows of none before that is fresh.
func TestRecallByView(t *testing.T) {
	listen, alone := timing.Default.Of(timing.Recall), timing.Default.Of(timing.RecallAlone)
	Convey("An owner that knows of no adapter waits for some, but not for ever", t, func() {
		b := recalling(0)
		b.pass(alone - time.Millisecond)
		So(b.place.host.IsOwner(), ShouldBeFalse)
		b.pass(time.Millisecond)
		So(b.place.host.IsOwner(), ShouldBeTrue)
	})
	Convey("Adapters of an older build are not waited for", t, func() {
		b := recalling(0)
		b.isRefusing, b.adapters = true, []wire.Who{{Name: "old", Boot: "old.1"}}
		b.pass(0)
		b.pass(listen)
		So(b.place.host.IsOwner(), ShouldBeTrue)
	})
	Convey("An owner whose view is stale waits for a fresh one, since it may name more adapters", t, func() {
		b := recalling(1)
		asked[*wire.AskTime](b)[0](&wire.TimeKept{}, nil)
		b.fresh = []bool{false}
		b.pass(listen)
		So(asked[*wire.TellTime](b), ShouldBeEmpty)
		b.pass(time.Millisecond)
		b.keep()
		So(b.place.host.IsOwner(), ShouldBeTrue)
	})
	Convey("An owner that has no fresh view for long asks those that it names then", t, func() {
		b := recalling(0)
		b.place.Owned(false)
		b.fresh = []bool{false, false, false}
		b.place.Owned(true)
		b.pass(alone)
		b.pass(alone)
		So(b.place.host.IsOwner(), ShouldBeFalse)
		b.adapters = []wire.Who{{Name: "a", Boot: "a.1"}}
		b.pass(time.Millisecond)
		asked[*wire.AskTime](b)[0](&wire.TimeKept{Term: 5, Reading: 90_000}, nil)
		So(b.place.now(), ShouldEqual, 90_000)
	})
	Convey("An owner whose view names ever more adapters goes on listening for others", t, func() {
		b := recalling(0)
		for i := range 3 {
			b.pass(listen - time.Millisecond)
			name := fmt.Sprint("new", i)
			b.adapters = append(b.adapters, wire.Who{Name: name, Boot: name + ".1"})
			b.pass(0)
			asked[*wire.AskTime](b)[0](&wire.TimeKept{}, nil)
		}
		b.pass(listen - time.Millisecond)
		So(asked[*wire.TellTime](b), ShouldBeEmpty)
		b.pass(time.Millisecond)
		So(asked[*wire.TellTime](b), ShouldHaveLength, 3)
	})
}
