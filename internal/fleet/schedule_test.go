package fleet

import (
	"os"
	"path/filepath"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// newTestFleet returns a fleet of an example, with back ends but without running daemons.
func newTestFleet(t *testing.T, name string) *Fleet {
	plan, doc, err := ReadPlan("../../examples/" + name + ".json")
	So(err, ShouldBeNil)
	dir := t.TempDir()
	f, err := New(plan, doc, dir, "", dir)
	So(err, ShouldBeNil)
	return f
}

// TestSchedules checks that every schedule in examples/faults can be read and that its targets exist, and that a random
// schedule is the same for the same seed. It guards against faults that silently hit nothing.
func TestSchedules(t *testing.T) {
	files, _ := filepath.Glob("../../examples/faults/*.json")
	Convey("Given the schedules in examples/faults", t, func() {
		So(len(files), ShouldBeGreaterThan, 8)
		f, other := newTestFleet(t, "nakhla"), newTestFleet(t, "esquadrias")
		plan := f.Plan
		defer f.Stop()
		defer other.Stop()
		check := func(f *Fleet, s Schedule) {
			length, _ := time.ParseDuration(s.Duration)
			for _, step := range s.Steps {
				period := step.interval()
				So(period.until, ShouldBeLessThan, length)
				switch step.Action {
				case "kill", "freeze", "stop", "wipe", "upgrade", "downgrade":
					So(len(f.matchProcesses(step.Target)), ShouldBeGreaterThan, 0)
				case "fail", "crawl", "cut", "lose", "stall", "vanish", "leave":
					So(len(f.matchBackends(step.Target)), ShouldBeGreaterThan, 0)
				case "kill cell", "cut cell", "empty":
					So(plan.Zones, ShouldContain, step.Target)
				}
			}
		}
		for _, file := range files {
			s, err := ReadSchedule(file)
			So(err, ShouldBeNil)
			if filepath.Base(file) == "fitters.json" {
				check(other, s)
			} else {
				check(f, s)
			}
		}
		for seed := uint64(1); seed < 50; seed++ {
			s := RandomSchedule(plan, seed, time.Minute)
			So(len(s.Steps), ShouldBeGreaterThan, 3)
			check(f, s)
			So(RandomSchedule(plan, seed, time.Minute), ShouldResemble, s)
		}
	})
	Convey("A schedule with an unknown fault is rejected", t, func() {
		file := filepath.Join(t.TempDir(), "s.json")
		So(os.WriteFile(file, []byte(`{"steps":[{"at":"1s","do":"tickle","who":"store-1"}]}`), 0o644), ShouldBeNil)
		_, err := ReadSchedule(file)
		So(err, ShouldNotBeNil)
	})
}
