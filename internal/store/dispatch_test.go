package store

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// TestAsksAreNotMissedForEver guards against slot requests that stay open forever because no answer comes; see also
// TestMovedDuty.
func TestAsksAreNotMissedForEver(t *testing.T) {
	Convey("Given two open slot requests", t, func() {
		d := NewDispatcher(DispatcherOptions{})
		d.requests["p"] = openRequests{1: time.Second, 2: 3 * time.Second}
		Convey("a request that was not answered by its deadline no longer counts", func() {
			d.expireRequests(2 * time.Second)
			So(len(d.requests["p"]), ShouldEqual, 1)
			Convey("and is not removed twice if its answer comes after all", func() {
				delete(d.requests["p"], 1)
				So(len(d.requests["p"]), ShouldEqual, 1)
				delete(d.requests["p"], 2)
				So(len(d.requests["p"]), ShouldEqual, 0)
			})
		})
	})
}
