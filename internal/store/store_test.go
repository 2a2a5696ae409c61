package store

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"caperwheel/internal/config"
)

// TestLaneOf guards against a store treating a lane that it has not received yet as a removed one, which failed
// messages whose adapters had restarted together with the store.
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
		{"no lane is known before the view is fresh", &config.Rules{}, false, false, false},
		{"a lane missing from a fresh view was removed", &config.Rules{}, true, true, false},
	}
	Convey("When a place looks up a lane,", t, func() {
		for _, c := range cases {
			Convey(c.name, func() {
				lane, isKnown := laneOf(c.rules, "l", c.isFresh)
				So(isKnown, ShouldEqual, c.isKnown)
				So(lane.AllowsRerun, ShouldEqual, c.isRerun)
			})
		}
	})
}
