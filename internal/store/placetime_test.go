package store

import (
	"fmt"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"caperwheel/internal/place"
	"caperwheel/internal/wire"
)

// TestPlaceTime: a command takes time to be committed; place time once stood
// still meanwhile, and delays ran late by a quarter on a busy place.
func TestPlaceTime(t *testing.T) {
	Convey("Place time goes on while commands are committed", t, func() {
		b := newBench()
		began := b.place.now()
		for i := range 100 {
			b.place.Take(&wire.Take{Id: fmt.Sprintf("0-%d", i), Lane: "l", Deadline: 600_000}, func(any) {})
			b.now += 10 * time.Millisecond
			b.commit(true)
		}
		So(b.place.now()-began, ShouldEqual, 1000)
	})
	Convey("It does not leap on a store that ran for long before it held the place", t, func() {
		b := newBench()
		b.now = time.Minute
		p := NewPlaceHost(b, 0)
		p.Apply(place.Command{Kind: place.CmdTrim, At: 100}.Encode())
		So(p.now(), ShouldEqual, 100)
	})
	Convey("It never goes back, also when another replica's command is behind", t, func() {
		b := newBench()
		b.now += time.Second
		b.place.Apply(place.Command{Kind: place.CmdTrim, At: 5}.Encode())
		So(b.place.now(), ShouldBeGreaterThanOrEqualTo, 1000)
		b.place.Apply(place.Command{Kind: place.CmdTrim, At: 90_000}.Encode())
		So(b.place.now(), ShouldEqual, 90_000)
	})
}
