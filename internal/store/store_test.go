package store

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"caperwheel/internal/config"
)

// TestLaneOf: a store that took a lane it did not know yet for a removed one
// once failed messages whose adapters had restarted with it.
func TestLaneOf(t *testing.T) {
	rules := &config.Rules{Lanes: map[string]config.Lane{"l": {Name: "l", AllowsRerun: true}}}
	cases := []struct {
		name             string
		rules            *config.Rules
		isFresh, isKnown bool
		isRerun          bool
	}{
		{"a lane of a stale view still counts", rules, false, true, true},
		{"a lane of a fresh view counts", rules, true, true, true},
		{"no lane is known before the view is", &config.Rules{}, false, false, false},
		{"a lane missing from a fresh view was removed", &config.Rules{}, true, true, false},
	}
	Convey("When a place asks for a lane,", t, func() {
		for _, c := range cases {
			Convey(c.name, func() {
				lane, isKnown := laneOf(c.rules, "l", c.isFresh)
				So(isKnown, ShouldEqual, c.isKnown)
				So(lane.AllowsRerun, ShouldEqual, c.isRerun)
			})
		}
	})
}
