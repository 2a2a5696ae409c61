package deliver

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"caperwheel/internal/config"
	"caperwheel/internal/errs"
	"caperwheel/internal/wire"
)

// Simulated time before runs are counted, and for which they are counted.
const warmUp, counted = time.Second, 3 * time.Second

// busyWorker simulates a worker with an unlimited supply of runs. Each run arrives lead after its slot was granted, is
// queued until it may begin, and takes took. It returns the number of runs that ended after the warm-up, and the
// maximum numbers of concurrent and of queued runs.
func busyWorker(w *WorkerState, lead, took time.Duration) (ended, maxRunning, maxQueued int) {
	arrivals, ends, queued := []time.Duration{}, []time.Duration{}, 0
	for now := time.Duration(0); now < warmUp+counted; now += time.Millisecond {
		for len(ends) > 0 && ends[0] <= now {
			ends = ends[1:]
			w.RunEnded(true, took, now)
			if now >= warmUp {
				ended++
			}
		}
		for isGranted, _ := w.Grant(now); isGranted; isGranted, _ = w.Grant(now) {
			arrivals = append(arrivals, now+lead)
		}
		for len(arrivals) > 0 && arrivals[0] <= now {
			arrivals = arrivals[1:]
			w.RecordLead(lead)
			queued++
		}
		for queued > 0 && w.TryBegin(now) {
			queued--
			ends = append(ends, now+took)
		}
		maxRunning, maxQueued = max(maxRunning, len(ends)), max(maxQueued, queued)
	}
	return ended, maxRunning, maxQueued
}

// TestGrantedAhead guards against slots that are held from their grant until the answer. A worker with short runs then
// idled while the runs for granted slots were being committed and sent: it ended half of the runs that it could, and
// the backlog after an outage was never worked off.
func TestGrantedAhead(t *testing.T) {
	const millisecond = time.Millisecond
	cases := []struct {
		name           string
		slots          int64
		lead, took     time.Duration
		minShare       float64 // of the runs that the worker could end
		maxQueuedShare float64 // of its slots
	}{
		{"short runs that take as long to arrive", 4, 15 * millisecond, 15 * millisecond, 0.95, 1},
		{"runs that take longer to arrive than to end", 4, 30 * millisecond, 15 * millisecond, 0.65, 1},
		{"long runs", 12, 15 * millisecond, 300 * millisecond, 0.93, 0.2},
		{"runs that arrive at once", 4, 0, 15 * millisecond, 0.95, 0},
	}
	Convey("A worker with an unlimited supply of runs is kept busy", t, func() {
		for _, c := range cases {
			Convey("with "+c.name, func() {
				w := NewWorkerState(config.Pool{Concurrency: c.slots}, 0, 0)
				ended, maxRunning, maxQueued := busyWorker(w, c.lead, c.took)
				So(float64(ended), ShouldBeGreaterThanOrEqualTo, c.minShare*float64(c.slots)*float64(counted)/float64(c.took))
				So(maxRunning, ShouldBeLessThanOrEqualTo, c.slots)
				So(float64(maxQueued), ShouldBeLessThanOrEqualTo, max(1, c.maxQueuedShare*float64(c.slots)))
			})
		}
	})
	Convey("No slot is granted ahead under a rate limit, nor on an unhealthy worker", t, func() {
		for _, pool := range []config.Pool{{Concurrency: 4, Rate: 1000}, {Concurrency: 4}} {
			w := NewWorkerState(pool, 0, 0)
			w.Grant(0)
			w.RecordLead(time.Second)
			w.TryBegin(0)
			w.RunEnded(true, time.Millisecond, 0)
			if pool.Rate == 0 {
				w.setHealth(Unhealthy, 0)
			}
			So(w.slotsAhead(4, 0), ShouldEqual, 0)
		}
	})
	Convey("Half as many runs again as a worker has slots may queue there, also if the slots equal the pool's concurrency", t, func() {
		for _, slots := range []int64{3, 4, 5} {
			w := NewWorkerState(config.Pool{Concurrency: 4}, 0, 0)
			w.Configure(config.Pool{Concurrency: 4}, config.Worker{Slots: slots})
			So(w.runLimit(0), ShouldEqual, slots+(slots+1)/2)
		}
	})
}

// queueSecondRun queues a run behind the first one, which is running, and returns the channel that gets its turn. The
// run's permit expires at the given time.
func queueSecondRun(h *dutyHolder, first *permit, expiresAt time.Duration) (turns chan error) {
	turns = make(chan error, 2)
	h.slots.startWhenFree(first, func(err error) { turns <- err })
	So(<-turns, ShouldBeNil)
	first.held.queue = append(first.held.queue, queuedRun{expiresAt, func(err error) { turns <- err }})
	first.held.startQueued(0)
	So(len(turns), ShouldEqual, 0)
	return turns
}

// TestLine checks how a queued run ends its wait.
func TestLine(t *testing.T) {
	cases := []struct {
		name    string
		happens func(h *dutyHolder, first *permit)
		kind    errs.Kind
	}{
		{"the run before it ends", func(h *dutyHolder, first *permit) { h.slots.finish(first, true, time.Millisecond) }, ""},
		{"the run before it is not sent", func(h *dutyHolder, first *permit) { h.slots.withdraw(first) }, ""},
		{"its permit expires", func(h *dutyHolder, _ *permit) { h.clock.Store(int64(2 * time.Second)); h.slots.serve() }, errs.DeadlineExceeded},
		{"the worker becomes unhealthy", func(h *dutyHolder, first *permit) {
			first.held.worker.setHealth(Unhealthy, 0)
			h.slots.serve()
		}, errs.Full},
		{"the duty moves to another holder", func(h *dutyHolder, _ *permit) { h.slots.drop("p/w") }, errs.NotOwner},
	}
	Convey("A run is queued while its worker has no capacity, until", t, func() {
		for _, c := range cases {
			Convey(c.name, func() {
				h := newDutyHolder("a")
				held := &heldWorker{worker: NewWorkerState(config.Pool{Concurrency: 1}, 0, 0)}
				h.slots.workers["p/w"] = held
				isGranted, _ := held.worker.Grant(0)
				So(isGranted, ShouldBeTrue)
				first := &permit{key: "p/w", held: held, deadline: time.Second}
				turns := queueSecondRun(h, first, time.Second)
				c.happens(h, first)
				kind := errs.Kind("")
				if err := <-turns; err != nil {
					kind = errs.KindOf(err)
				}
				So(kind, ShouldEqual, c.kind)
				So(len(held.queue), ShouldEqual, 0)
				So(len(turns), ShouldEqual, 0)
			})
		}
	})
}

// TestArrivedTooLate checks that a run is rejected, not queued, if the duty has moved since its slot was granted.
func TestArrivedTooLate(t *testing.T) {
	Convey("Given a run for a slot on a worker that is no longer held", t, func() {
		h := newDutyHolder("a")
		late := &permit{key: "p/w", held: &heldWorker{worker: NewWorkerState(config.Pool{Concurrency: 1}, 0, 0)}, deadline: time.Second}
		var turned error
		h.slots.startWhenFree(late, func(err error) { turned = err })
		So(errs.Is(turned, errs.NotOwner), ShouldBeTrue)
	})
}

// TestAskedDuringAnOutage guards against slot requests that are told to retry at once because other requests wait
// before them: there were thousands per second, although the worker was not to be probed for a while.
func TestAskedDuringAnOutage(t *testing.T) {
	Convey("Given an unhealthy worker with a waiting slot request", t, func() {
		h := newDutyHolder("a")
		h.receiveUpdate(0, 0)
		w, err := h.slots.workerFor(h.configs.Current(), "p", "w")
		So(err, ShouldBeNil)
		w.worker.setHealth(Unhealthy, 0)
		w.requests = []slotRequest{{time.Second, func(any) {}}}
		Convey("the next request is told to retry when the worker is probed", func() {
			So(askFor(h, 0).Retry, ShouldEqual, initialProbeInterval.Milliseconds())
		})
	})
}

// askFor requests a slot, with the time for which the request may wait, and returns the answer.
func askFor(h *dutyHolder, hold time.Duration) *wire.Grant {
	grant := &wire.Grant{}
	h.slots.requestSlot(&wire.Want{Pool: "p", Worker: "w", Hold: hold.Milliseconds()}, func(reply any) { grant = reply.(*wire.Grant) })
	return grant
}
