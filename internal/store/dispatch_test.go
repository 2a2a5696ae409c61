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
		d := NewDispatcher(DispatcherOptions{})
		d.requests["p"] = openRequests{1: time.Second, 2: 3 * time.Second}
		Convey("one that was not answered by its cutoff no longer counts", func() {
			d.expireRequests(2 * time.Second)
			So(len(d.requests["p"]), ShouldEqual, 1)
			Convey("nor twice, should its answer come after all", func() {
				delete(d.requests["p"], 1)
				So(len(d.requests["p"]), ShouldEqual, 1)
				delete(d.requests["p"], 2)
				So(len(d.requests["p"]), ShouldEqual, 0)
			})
		})
	})
}
