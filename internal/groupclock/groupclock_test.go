package groupclock

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// TestClock checks the effect of a command on a clock.
func TestClock(t *testing.T) {
	cases := []struct {
		name  string
		told  int64
		isOwn bool
		want  int64
	}{
		{"a command of another ownership sets it forward", 9000, false, 9000},
		{"… and back", 1500, false, 1500},
		{"a command of this ownership leaves it as it is", 1500, true, 3000},
		{"… unless it is ahead, which none can be", 9000, true, 9000},
	}
	Convey("On a clock that has counted two seconds from 1,000 ms,", t, func() {
		for _, c := range cases {
			Convey(c.name, func() {
				clock := New(time.Minute)
				clock.Reset(1000, time.Minute)
				now := time.Minute + 2*time.Second
				So(clock.At(now), ShouldEqual, 3000)
				clock.Apply(c.told, c.isOwn, now)
				So(clock.At(now), ShouldEqual, c.want)
				So(clock.At(now+time.Second), ShouldEqual, c.want+1000)
				So(clock.Lag(c.told, now), ShouldEqual, time.Duration(c.want-c.told)*time.Millisecond)
			})
		}
	})
}
