package store

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// TestAsksAreNotMissedForEver: see TestMovedDuty; the store does not rely on an
// answer either.
func TestAsksAreNotMissedForEver(t *testing.T) {
	Convey("Given two asks under way", t, func() {
		d := newDispatcher(nil)
		d.wants["p"], d.asks[1], d.asks[2] = 2, wanted{"p", time.Second}, wanted{"p", 3 * time.Second}
		Convey("one that was not answered by its cutoff no longer counts", func() {
			d.closeLate(2 * time.Second)
			So(d.wants["p"], ShouldEqual, 1)
			Convey("nor twice, should its answer come after all", func() {
				d.closeAsk(1)
				So(d.wants["p"], ShouldEqual, 1)
				d.closeAsk(2)
				So(d.wants["p"], ShouldEqual, 0)
			})
		})
	})
}
