package host

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"caperwheel/internal/repair"
	"caperwheel/internal/timing"
)

// TestPaceOfRepair guards against an owner that checks its roster only each quarter of a bound while a
// voter is silent: with a change of owner that is too late for the next loss.
func TestPaceOfRepair(t *testing.T) {
	Convey("Given a group of three with an owner", t, func() {
		names := []string{"a", "b", "c"}
		c, checks := newCluster(names, names, names), 0
		for len(c.voters()) == 0 && c.now < timing.Default.ConfigApply {
			c.tick()
		}
		for _, h := range c.byName {
			plan := h.opts.PlanRoster
			h.opts.PlanRoster = func(silence repair.Silence) (map[string]string, []string) {
				checks++
				return plan(silence)
			}
		}
		checksPerBound := func() int {
			checks = 0
			for end := c.now + timing.Default.ConfigApply; c.now < end; {
				c.tick()
			}
			return checks
		}
		baseline := checksPerBound()
		So(baseline, ShouldBeBetweenOrEqual, 3, 5)
		Convey("it checks more than twice as often once a voter is silent", func() {
			for name, h := range c.byName {
				if !h.IsOwner() {
					delete(c.byName, name)
					break
				}
			}
			So(checksPerBound(), ShouldBeGreaterThanOrEqualTo, 2*baseline+1)
		})
	})
}
