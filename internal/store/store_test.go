package store

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"caperwheel/internal/charter"
)

// TestLaneOf: a store that took a lane it did not know yet for a removed one
// once failed messages whose adapters had restarted with it.
func TestLaneOf(t *testing.T) {
	rules := &charter.Rules{Lanes: map[string]charter.Lane{"l": {Name: "l", Rerun: true}}}
	cases := []struct {
		name             string
		rules            *charter.Rules
		isFresh, isKnown bool
		isRerun          bool
	}{
		{"a lane of a stale view still counts", rules, false, true, true},
		{"a lane of a fresh view counts", rules, true, true, true},
		{"no lane is known before the view is", &charter.Rules{}, false, false, false},
		{"a lane missing from a fresh view was removed", &charter.Rules{}, true, true, false},
	}
	Convey("When a place asks for a lane,", t, func() {
		for _, c := range cases {
			Convey(c.name, func() {
				lane, isKnown := laneOf(c.rules, "l", c.isFresh)
				So(isKnown, ShouldEqual, c.isKnown)
				So(lane.Rerun, ShouldEqual, c.isRerun)
			})
		}
	})
}
