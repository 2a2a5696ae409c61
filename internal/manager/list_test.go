package manager

import (
	"context"
	"fmt"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"caperwheel/internal/config"
	"caperwheel/internal/errs"
	"caperwheel/internal/workerlist"
	"strings"
)

// TestList checks what is written of a short list after each read.
func TestList(t *testing.T) {
	w1, w2, left := listedWorker("w1", "live", false), listedWorker("w2", "live", true), listedWorker("w1", "leaving", false)
	bad, oversized := listedWorker("no name", "live", false), listedWorker("w3", "live", false)
	oversized.Identifier = strings.Repeat("i", config.MaxIdentifierBytes+1)
	type turn struct {
		read  []config.Worker
		err   error
		edits int // so far, without that of the configuration
		want  []config.Worker
	}
	full, lost := errs.New(errs.Full, "rate"), errs.New(errs.Lost, "down")
	both := []config.Worker{w1, w2}
	cases := []struct {
		name  string
		turns []turn
	}{
		{"a new list, once", []turn{{both, nil, 1, both}, {[]config.Worker{w2, w1}, nil, 1, both}}},
		{"a worker that leaves", []turn{{both, nil, 1, both}, {[]config.Worker{left, w2}, nil, 2, []config.Worker{left, w2}}}},
		{"nothing when the read fails", []turn{{both, nil, 1, both}, {nil, lost, 1, both}, {both, nil, 1, both}}},
		{"nothing when calls are refused", []turn{{both, nil, 1, both}, {nil, full, 1, both}, {[]config.Worker{left, w2}, nil, 2, []config.Worker{left, w2}}}},
		{"the removal of a worker that two reads lack", []turn{{both, nil, 1, both}, {[]config.Worker{w1}, nil, 1, both},
			{[]config.Worker{w1}, nil, 2, []config.Worker{w1}}}},
		{"nothing when one read lacks a worker", []turn{{both, nil, 1, both}, {[]config.Worker{w1}, nil, 1, both}, {both, nil, 1, both}}},
		{"no worker with an invalid entry", []turn{{[]config.Worker{w1, bad, oversized}, nil, 1, []config.Worker{w1}}}},
	}
	for _, isViewFrozen := range []bool{false, true} {
		name := map[bool]string{false: "The list controller writes", true: "The list controller writes, while its view lags,"}[isViewFrozen]
		Convey(name, t, func() {
			for _, c := range cases {
				Convey(c.name, func() {
					s := newListFixture(100, 0)
					var now turn
					s.fail = func(string, string) error { return now.err }
					s.f.isViewFrozen = isViewFrozen
					for _, now = range c.turns {
						s.workers = now.read
						s.advanceInterval()
						So(len(s.f.edits)-1, ShouldEqual, now.edits)
						stored, _ := s.f.part(1).Get(config.WorkersKey + "p")
						got, faults := config.ReadWorkers(stored.Value)
						So(faults, ShouldBeEmpty)
						So(got.Workers, ShouldResemble, now.want)
					}
				})
			}
		})
	}
}

// TestReaderChanges checks that a manager that takes over the reading starts from the stored lists and
// writes only what has changed.
func TestReaderChanges(t *testing.T) {
	Convey("Given a long list that another manager has written", t, func() {
		s := newListFixture(50, 40)
		s.workers = manyWorkers(1000)
		s.advance(5 * time.Second)
		So(s.written(), ShouldHaveLength, 1000)
		s.l = newListController(s.m)
		edits := len(s.f.edits)
		Convey("nothing is written if nothing has changed", func() {
			s.advance(5 * time.Second)
			So(len(s.f.edits), ShouldEqual, edits)
		})
		Convey("workers that are gone since are removed, and so are their keys", func() {
			s.workers = s.workers[:10]
			s.advance(10 * time.Second)
			So(s.written(), ShouldHaveLength, 10)
			keys := 0
			news, _ := s.f.part(1).News(1, 0)
			for _, c := range news.Changes {
				if strings.HasPrefix(c.Key, config.WorkersKey) && !c.Gone {
					keys++
				}
			}
			So(keys, ShouldEqual, 1)
		})
		Convey("the list of a pool that a new configuration adds is written at once", func() {
			s.propose(`{"pools":{"p":{},"other":{}}}`)
			s.mutatePage = func(page *ListPage) {
				page.Workers["other"] = []config.Worker{listedWorker("o", "live", false)}
			}
			s.advance(5 * time.Second)
			stored, _ := s.f.part(1).Get(config.WorkersKey + "other")
			So(string(stored.Value), ShouldContainSubstring, `"o"`)
		})
	})
}

// TestPeriods checks how the rate is divided among the lists that are read in parallel.
func TestPeriods(t *testing.T) {
	Convey("The calls of all lists together", t, func() {
		for _, zones := range []int{0, 2, 9} {
			plan, named := workerlist.NewPlan(time.Millisecond), map[string]bool{}
			for i := range zones {
				named[fmt.Sprint("z", i)] = true
			}
			whole := plan.Cursors()[0]
			whole.NextToken(0)
			whole.LastReadPages, whole.HasRead = 1000, true
			plan.Replan(named, 40)
			Convey(fmt.Sprintf("are three quarters of the rate with %d zones", zones), func() {
				So(plan.Cursors(), ShouldHaveLength, 1+zones)
				sum := 0.0
				for _, c := range plan.Cursors() {
					sum += 1 / plan.Period(c, 40).Seconds()
				}
				So(sum, ShouldAlmostEqual, 30, 0.01)
			})
		}
	})
}

// TestEasing checks that the workers of a restored zone count as cold until a read that began after the
// source's lag has reached every daemon.
func TestEasing(t *testing.T) {
	Convey("The workers of a restored zone are cold for as long as the list may be outdated", t, func() {
		s := newListFixture(100, 0)
		s.workers = []config.Worker{{Name: "w", Address: "127.0.0.1:80", Zone: "a", State: "live"}}
		s.advanceInterval()
		state := func() (isServed, isCold bool) {
			w, isServed := s.m.configs.Current().CanServe("p", "w")
			return isServed, w.IsCold
		}
		_, err := s.m.operators.DrainZone(context.Background(), "x", "a", true)
		So(err, ShouldBeNil)
		isServed, _ := state()
		So(isServed, ShouldBeFalse)
		So(s.m.configs.Current().MayStartWork("a"), ShouldBeTrue)
		_, err = s.m.operators.RestoreZone(context.Background(), "x", "a")
		So(err, ShouldBeNil)
		steps := []struct {
			name   string
			passed time.Duration
			isCold bool
		}{
			{"are cold at first", 0, true},
			{"are cold while the list may be older than the restore", 500 * time.Millisecond, true},
			{"are cold until the daemons have the result of a later read", 4 * time.Second, true},
			{"are still cold until the daemons have it", 6 * time.Second, true},
			{"are as listed after that", 16 * time.Second, false},
		}
		for _, step := range steps {
			s.advance(step.passed)
			isServed, isCold := state()
			So(isServed, ShouldBeTrue)
			So(step.name, ShouldEqual, map[bool]string{true: step.name}[isCold == step.isCold])
		}
	})
}
