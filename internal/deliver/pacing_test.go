package deliver

import (
	"fmt"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"caperwheel/internal/config"
)

// Limits of a rate, as the user documentation states them.
const (
	rateWindow    = 5 * time.Second
	rateOvershoot = 1.1
	rateSlack     = 5 // starts
)

// mostInWindow returns the most starts in any window of a sorted list.
func mostInWindow(starts []time.Duration) (most int) {
	first := 0
	for i, at := range starts {
		for starts[first] <= at-rateWindow {
			first++
		}
		most = max(most, i+1-first)
	}
	return most
}

// TestBacklogOfGrantedStarts guards against rule CEILING: starts that were granted while runs were held up, and used one
// after another, were paced at more than the rate allows.
func TestBacklogOfGrantedStarts(t *testing.T) {
	for _, rate := range []float64{2, 5, 8, 39, 500} {
		Convey(fmt.Sprintf("Starts that are granted at once stay under the ceiling of a rate of %g a second", rate), t, func() {
			duties := map[string]config.AssignedDuty{"w": {Duty: config.Duty{IsReleased: true}, Term: 1}}
			share := NewRateShare(time.Second, 0)
			share.Update(rate, duties, 1, 0)
			starts := []time.Duration{}
			for range int(3 * rate * rateWindow.Seconds()) {
				starts = append(starts, share.PacingDelay(0))
			}
			So(mostInWindow(starts), ShouldBeLessThanOrEqualTo, rate*rateWindow.Seconds()*rateOvershoot+rateSlack)
			So(mostInWindow(starts), ShouldBeGreaterThanOrEqualTo, rate*rateWindow.Seconds())
		})
	}
}
