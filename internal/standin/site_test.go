package standin

import (
	"context"
	"path/filepath"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"caperwheel/internal/check"
	"caperwheel/internal/fleet"
)

// slowMachinePlan is the small plan with long timeouts, for machines that may be busy with other tests.
func slowMachinePlan() SitePlan {
	plan := SmallPlan()
	plan.Deadline = 10 * time.Second
	for i := range plan.Routes {
		plan.Routes[i].Timeout = 8000
	}
	return plan
}

// TestPlatform runs real daemons through the loss of a store and a change of the configuration. Only rules without
// time bounds, and counts, are checked.
func TestPlatform(t *testing.T) {
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Minute)
	defer cancel()
	dir := t.TempDir()
	Convey("Given a small deployment on the platform", t, func() {
		So(fleet.Build(ctx, "../..", filepath.Join(dir, "bin"), false), ShouldBeNil)
		plan := slowMachinePlan()
		site, err := New(plan, filepath.Join(dir, "bin"), dir)
		So(err, ShouldBeNil)
		defer site.Down()
		So(site.Up(ctx), ShouldBeNil)
		loadCtx, stop := context.WithCancel(ctx)
		defer stop()
		go site.ObserveMessages(loadCtx)
		done := make(chan struct{})
		go func() { site.RunTraffic(loadCtx, plan.Loads, plan.Deadline); close(done) }()
		Convey("messages are kept and run while a store is down and the configuration changes", func() {
			So(site.waitForAccepts(ctx, 60), ShouldBeTrue)
			store := site.machinesMatching("store-1")[0]
			store.stop(false)
			So(site.waitForAccepts(ctx, 60), ShouldBeTrue)
			store.restart()
			c, code := site.operator.change(ctx, true, func(c *siteConfig) { c.Routes = append(c.Routes, c.trial()) })
			So(code, ShouldEqual, 200)
			So(site.waitForRoute(ctx, c.Routes[len(c.Routes)-1]), ShouldBeTrue)
			So(site.waitForAccepts(ctx, 60), ShouldBeTrue)
			stop()
			<-done
			site.CollectFinalStates(ctx)
			site.operator.readBack(ctx)
			figures := site.Report(false)
			So(figures.Breaches, ShouldBeEmpty)
			So(figures.Failures, ShouldBeEmpty)
			So(figures.Crashes, ShouldBeEmpty)
			So(figures.FinalStates["completed"]+figures.FinalStates["dead_letter"], ShouldEqual, figures.Codes[202])
			So(figures.FinalStates["completed"], ShouldBeGreaterThan, 150)
			So(figures.Callbacks, ShouldBeGreaterThan, 0)
			So(figures.Calls, ShouldBeGreaterThan, 0)
		})
	})
}

// waitForAccepts waits until so many more messages have been accepted.
func (s *Site) waitForAccepts(ctx context.Context, more int) bool {
	count := func() (n int) {
		s.History.WithLock(func() {
			for _, x := range s.History.Sent {
				if x.Outcome == check.Taken {
					n++
				}
			}
		})
		return n
	}
	for until := count() + more; count() < until; {
		if !sleep(ctx, 20*time.Millisecond) {
			return false
		}
	}
	return true
}

// waitForRoute waits until every front accepts messages of a route.
func (s *Site) waitForRoute(ctx context.Context, r route) bool {
	for _, m := range s.entry.fronts {
		for {
			c := newClient(s, m.Zone, "direct", s.plan.Deadline)
			timeoutCtx, cancel := context.WithTimeout(ctx, s.plan.Deadline)
			sent, _ := c.submit(timeoutCtx, s.entry.transportTo(m), Load{Route: r.Name, Host: r.Host, Prefix: r.Prefix}.message(newRand()), s.plan.Deadline, newRand())
			cancel()
			if sent.Outcome == check.Taken {
				break
			}
			if !sleep(ctx, 50*time.Millisecond) {
				return false
			}
		}
	}
	return true
}

// TestChoose tests how the entry assigns connections to fronts.
func TestChoose(t *testing.T) {
	zones := []string{"a", "b", "c"}
	a1, a2, a3, b1, c1 := &Machine{ShortName: "a1", Zone: "a"}, &Machine{ShortName: "a2", Zone: "a"}, &Machine{ShortName: "a3", Zone: "a"},
		&Machine{ShortName: "b1", Zone: "b"}, &Machine{ShortName: "c1", Zone: "c"}
	fronts := []*Machine{a1, a2, a3, b1, c1}
	cases := []struct {
		text  string
		ready []*Machine
		zone  string
		want  []*Machine
	}{
		{"the fronts of its zone, if all are ready", fronts, "a", []*Machine{a1, a2, a3}},
		{"the ready fronts of its zone, if they are at least half", []*Machine{a1, a3, b1}, "a", []*Machine{a1, a3}},
		{"all fronts of its zone, if fewer than half are ready", []*Machine{a1, b1}, "a", []*Machine{a1, a2, a3}},
		{"the fronts of the next zone, if none of its zone is ready", []*Machine{b1, c1}, "a", []*Machine{b1}},
		{"the fronts of the zone after that", []*Machine{c1}, "a", []*Machine{c1}},
		{"the fronts of the first zone, if none of the last zone is ready", []*Machine{a1, a2, a3, b1}, "c", []*Machine{a1, a2, a3}},
		{"the fronts of its zone, if none is ready anywhere", nil, "b", []*Machine{b1}},
	}
	Convey("A connection is assigned to", t, func() {
		for _, c := range cases {
			Convey(c.text, func() {
				got := map[*Machine]bool{}
				for client := range 100 {
					m := chooseFrontFor(zones, fronts, c.ready, c.zone, string(rune('A'+client)), 0)
					So(c.want, ShouldContain, m)
					got[m] = true
				}
				So(len(got), ShouldEqual, len(c.want))
			})
		}
		Convey("another front at the next try, and the same front at the same try", func() {
			first, same := chooseFrontFor(zones, fronts, fronts, "a", "x", 0), chooseFrontFor(zones, fronts, fronts, "a", "x", 0)
			So(first, ShouldEqual, same)
			So(chooseFrontFor(zones, fronts, fronts, "a", "x", 1), ShouldNotEqual, first)
		})
	})
}

// TestDraws checks that a seed always draws the same schedule, and that all schedules, drawn ones and those in
// examples/, name faults that exist.
func TestDraws(t *testing.T) {
	Convey("The schedules in examples/platform are valid", t, func() {
		files, err := filepath.Glob("../../examples/platform/*.json")
		So(err, ShouldBeNil)
		So(files, ShouldNotBeEmpty)
		for _, file := range files {
			_, err := fleet.ReadScheduleOf(file, IsFault)
			So(err, ShouldBeNil)
		}
	})
	Convey("Drawn schedules name faults that exist", t, func() {
		for seed := uint64(1); seed < 50; seed++ {
			schedule := fleet.DrawSchedule(RandomFaults(), seed, time.Minute)
			So(len(schedule.Steps), ShouldBeGreaterThan, 3)
			So(fleet.DrawSchedule(RandomFaults(), seed, time.Minute), ShouldResemble, schedule)
			for _, step := range schedule.Steps {
				So(IsFault(step.Action), ShouldBeTrue)
			}
		}
	})
}
