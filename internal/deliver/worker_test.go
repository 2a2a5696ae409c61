package deliver

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"caperwheel/internal/config"
	"caperwheel/internal/errs"
	"caperwheel/internal/wire"
)

// starts requests slots every 10 ms for a while, with runs of the length work, and returns the times of the starts.
func starts(w *WorkerState, from, length, work time.Duration, isHealthy func(now time.Duration) bool) []time.Duration {
	out, ends := []time.Duration{}, []time.Duration{}
	for now := from; now < from+length; now += 10 * time.Millisecond {
		for len(ends) > 0 && ends[0] <= now {
			ends = ends[1:]
			w.RunEnded(isHealthy(now), work, now)
		}
		for {
			isGranted, _ := w.Grant(now)
			if !isGranted {
				break
			}
			at := now + w.PacingDelay(now)
			out, ends = append(out, at), append(ends, at+work)
		}
	}
	return out
}

// always is the health of a worker that never fails.
func always(time.Duration) bool { return true }

// within counts the times from from up to until.
func within(list []time.Duration, from, until time.Duration) int {
	n := 0
	for _, at := range list {
		if at >= from && at < until {
			n++
		}
	}
	return n
}

// TestRate checks that an endpoint never gets much more than its rate over any 5 s.
func TestRate(t *testing.T) {
	cases := []struct {
		name  string
		rate  float64
		fence time.Duration
		ease  time.Duration
	}{
		{"a slow endpoint", 1, 0, 0},
		{"an average endpoint", 6, 0, 0},
		{"a fast endpoint", 200, 0, 0},
		{"an endpoint in slow start", 6, 0, 5 * time.Second},
		{"an endpoint taken over, during its fence", 6, 3 * time.Second, 0},
	}
	Convey("Over any five seconds", t, func() {
		for _, c := range cases {
			Convey(c.name+" gets no more than its rate and a little, and not much less", func() {
				w := NewWorkerState(config.Pool{Rate: c.rate, Concurrency: 50, SlowStart: c.ease}, c.fence, 0)
				list := starts(w, 0, 40*time.Second, 20*time.Millisecond, always)
				So(within(list, 0, c.fence), ShouldEqual, 0)
				for from := time.Duration(0); from < 35*time.Second; from += 50 * time.Millisecond {
					So(float64(within(list, from, from+5*time.Second)), ShouldBeLessThanOrEqualTo, 5*c.rate*1.02+1)
				}
				So(float64(within(list, 20*time.Second, 40*time.Second)), ShouldBeGreaterThan, 20*c.rate*0.9)
			})
		}
	})
}

func TestSoundness(t *testing.T) {
	pool := config.Pool{Concurrency: 8, SlowStart: 10 * time.Second}
	Convey("A cold worker gets a slow start", t, func() {
		list := starts(NewWorkerState(pool, 0, 0), 0, 20*time.Second, 50*time.Millisecond, always)
		So(within(list, 0, time.Second), ShouldBeLessThan, 8)
		So(within(list, 4*time.Second, 5*time.Second), ShouldBeGreaterThan, within(list, 1*time.Second, 2*time.Second))
		So(within(list, 15*time.Second, 16*time.Second), ShouldBeGreaterThan, 80)
	})
	Convey("A worker that fails gets only probes, and comes back cold", t, func() {
		w := NewWorkerState(pool, 0, 0)
		isHealthy := func(now time.Duration) bool { return now < 20*time.Second || now > 40*time.Second }
		list := starts(w, 0, 42*time.Second, 50*time.Millisecond, isHealthy)
		So(within(list, 30*time.Second, 40*time.Second), ShouldBeBetween, 1, 6)
		So(within(list, 41*time.Second, 42*time.Second), ShouldBeLessThan, 8)
	})
	Convey("Given a warm worker", t, func() {
		w := NewWorkerState(config.Pool{Concurrency: 2}, 0, 0)
		grant := func() bool { isGranted, _ := w.Grant(0); return isGranted }
		Convey("its slots are bounded, and can be granted again when they are released", func() {
			So([]bool{grant(), grant(), grant()}, ShouldResemble, []bool{true, true, false})
			w.Release(0)
			So(grant(), ShouldBeTrue)
		})
		Convey("its adaptive limit halves on failure and grows back", func() {
			grant()
			w.RunEnded(false, 0, 0)
			So([]bool{grant(), grant()}, ShouldResemble, []bool{true, false})
			w.RunEnded(true, time.Millisecond, 0)
			So([]bool{grant(), grant()}, ShouldResemble, []bool{true, true})
		})
	})
}

// TestBook checks the commitments of an adapter to owners.
func TestBook(t *testing.T) {
	run := func(term int64) *wire.Run { return &wire.Run{Place: 1, Term: term, Id: "x", Attempt: 1} }
	open := func(term int64) *wire.Open { return &wire.Open{Place: 1, Term: term, Id: "x", Attempt: 1} }
	Convey("Given an adapter's run registry", t, func() {
		b := NewRunRegistry(2)
		kind := func(err error) errs.Kind {
			if err == nil {
				return ""
			}
			return errs.KindOf(err)
		}
		Convey("an open run is reported as open, also in a later term", func() {
			So(b.Admit(run(3), 0), ShouldBeNil)
			So(b.ResolveOpen(open(4), 0).State, ShouldEqual, "open")
		})
		Convey("a run reported as never started is refused, whatever arrives later", func() {
			So(b.ResolveOpen(open(4), 0).State, ShouldEqual, "never")
			So(kind(b.Admit(run(4), 0)), ShouldEqual, errs.Rejected)
		})
		Convey("an older term is refused", func() {
			So(b.ResolveOpen(&wire.Open{Place: 1, Term: 5, Id: "y"}, 0).State, ShouldEqual, "never")
			So(kind(b.Admit(run(4), 0)), ShouldEqual, errs.Stale)
			So(b.ResolveOpen(open(4), 0).Kind, ShouldEqual, "stale")
		})
		Convey("the same run is not admitted twice, nor more runs than the maximum", func() {
			So(b.Admit(run(3), 0), ShouldBeNil)
			So(kind(b.Admit(run(3), 0)), ShouldEqual, errs.Conflict)
			So(b.Admit(&wire.Run{Id: "y"}, 0), ShouldBeNil)
			So(kind(b.Admit(&wire.Run{Id: "z"}, 0)), ShouldEqual, errs.Full)
			b.Remove(run(3))
			So(b.Admit(&wire.Run{Id: "z"}, 0), ShouldBeNil)
		})
	})
}
