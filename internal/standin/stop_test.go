package standin

import (
	"context"
	"path/filepath"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"caperwheel/internal/fleet"
)

// TestStopsCleanly checks that a daemon of each kind, stopped gracefully under load, exits by itself and without an
// error. Stores once exited with an error while stopping, because peers kept sending them entries after they had
// closed their disk.
func TestStopsCleanly(t *testing.T) {
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Minute)
	defer cancel()
	dir := t.TempDir()
	Convey("Each daemon exits cleanly when it is asked to stop", t, func() {
		So(fleet.Build(ctx, "../..", filepath.Join(dir, "bin"), false), ShouldBeNil)
		plan := slowMachinePlan()
		plan.IsSlow = true
		site, err := New(plan, filepath.Join(dir, "bin"), dir)
		So(err, ShouldBeNil)
		defer site.Down()
		So(site.Up(ctx), ShouldBeNil)
		loadCtx, stop := context.WithCancel(ctx)
		defer stop()
		go site.RunTraffic(loadCtx, plan.Loads, plan.Deadline)
		for _, selector := range []string{"store-1", "store-2", "core-1", "front-1"} {
			So(site.waitForAccepts(ctx, 30), ShouldBeTrue)
			m := site.machinesMatching(selector)[0]
			m.stop(true)
			m.restart()
		}
		So(site.Failures, ShouldBeEmpty)
	})
}
