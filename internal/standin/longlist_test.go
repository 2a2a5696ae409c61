package standin

import (
	"context"
	"path/filepath"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"caperwheel/internal/fleet"
)

// TestLongListIsRead: in a large deployment tens of thousands of accepted messages lay in
// their places beside idle workers, for as long as it ran. Its list of workers had more pages
// than the list takes calls in a second. A read that met a 429 threw away what it had and began
// with the first page again, so the list was never read, and nothing was logged.
func TestLongListIsRead(t *testing.T) {
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Minute)
	defer cancel()
	dir := t.TempDir()
	Convey("Where the list has more pages than it takes calls in a second, messages run", t, func() {
		So(fleet.Build(ctx, "../..", filepath.Join(dir, "bin"), false), ShouldBeNil)
		plan := slowMachinePlan()
		plan.Services[0].Count = 2 * listRatePerSecond * listPageEntries / len(plan.Zones)
		site, err := New(plan, filepath.Join(dir, "bin"), dir)
		So(err, ShouldBeNil)
		defer site.Down()
		So(site.Up(ctx), ShouldBeNil)
		loadCtx, stop := context.WithTimeout(ctx, 30*time.Second)
		defer stop()
		go site.RunTraffic(loadCtx, plan.Loads[:1], plan.Deadline)
		So(site.waitForRuns(loadCtx, 50), ShouldBeTrue)
	})
}

// waitForRuns waits until so many runs have begun.
func (s *Site) waitForRuns(ctx context.Context, least int) bool {
	count := func() (n int) {
		s.History.WithLock(func() { n = len(s.History.Runs) })
		return n
	}
	for count() < least {
		if !sleep(ctx, 20*time.Millisecond) {
			return false
		}
	}
	return true
}
