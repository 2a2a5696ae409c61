package standin

import (
	"context"
	"path/filepath"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"caperwheel/internal/fleet"
)

// TestLongListIsRead guards against a reader that never completes a long list of workers. The list had more pages
// than it accepts calls per second; a read that got a 429 discarded the pages it had and began again with the first
// one. The list was never read, nothing was logged, and tens of thousands of accepted messages waited beside idle
// workers.
func TestLongListIsRead(t *testing.T) {
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Minute)
	defer cancel()
	dir := t.TempDir()
	Convey("Messages run although the list has more pages than it accepts calls per second", t, func() {
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

// waitForRuns waits until at least so many runs have ended.
func (s *Site) waitForRuns(ctx context.Context, minRuns int) bool {
	count := func() (n int) {
		s.History.WithLock(func() { n = len(s.History.Runs) })
		return n
	}
	for count() < minRuns {
		if !sleep(ctx, 20*time.Millisecond) {
			return false
		}
	}
	return true
}
