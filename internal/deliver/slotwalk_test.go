package deliver

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"caperwheel/internal/config"
	"caperwheel/internal/timing"
	"caperwheel/internal/wire"
)

// Parameters of the random walk.
const (
	walkSeeds = 60
	walkSteps = 300
	walkKey   = "p/w"
)

// slotWalk is a random walk over the slots of a worker whose duty moves back and forth, whose address and pool change,
// and which fails.
type slotWalk struct {
	a        *Adapter
	draws    *rand.Rand
	now      atomic.Int64 // nanoseconds
	revision int64
	asked    int

	mu       sync.Mutex // answers also arrive on a timer's goroutine
	answered int
	granted  []int64

	pendingTurns []chan error // of runs that are queued
	queued       []*permit    // their permits
	working      []*permit
}

func newSlotWalk(seed uint64) *slotWalk {
	w := &slotWalk{a: newTestAdapter("127.0.0.1:9"), draws: rand.New(rand.NewPCG(seed, 5)), revision: 3}
	w.a.d.Clock = w.time
	w.pass(time.Second)
	w.update(config.DocumentKey, walkPool(4))
	return w
}

// time is the adapter's clock.
func (w *slotWalk) time() time.Duration { return time.Duration(w.now.Load()) }

// pass advances the clock.
func (w *slotWalk) pass(span time.Duration) { w.now.Add(int64(span)) }

// walkPool returns a configuration whose pool has the given concurrency.
func walkPool(concurrency int) string {
	return fmt.Sprintf(`{"pools":{"p":{"bound":"50ms","ease":"0s","concurrency":%d}},"lanes":{"l":{"pools":["p"]}}}`, concurrency)
}

// update applies a change to the adapter's view.
func (w *slotWalk) update(key, value string) {
	w.revision++
	w.a.d.View.Update([]wire.PartNews{{From: w.revision - 1, To: w.revision, Changes: []wire.Change{{Key: key, Revision: w.revision, Value: []byte(value)}}}}, w.time())
}

// ask requests a slot.
func (w *slotWalk) ask() {
	w.asked++
	w.a.slots.requestSlot(&wire.Want{Pool: "p", Worker: "w", Hold: 90}, func(reply any) {
		w.mu.Lock()
		defer w.mu.Unlock()
		w.answered++
		if grant := reply.(*wire.Grant); grant.Kind == "" {
			w.granted = append(w.granted, grant.Permit)
		}
	})
}

// nextGranted returns the permit of the oldest granted slot without a run.
func (w *slotWalk) nextGranted() (id int64, isGranted bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(w.granted) == 0 {
		return 0, false
	}
	id, w.granted = w.granted[0], w.granted[1:]
	return id, true
}

// arrive makes a run arrive for a granted slot, or gives the slot back, or does neither.
func (w *slotWalk) arrive() {
	id, isGranted := w.nextGranted()
	if !isGranted {
		return
	}
	switch w.draws.IntN(5) {
	case 0:
		return // the run is lost, so that the permit expires
	case 1:
		w.a.slots.release(id)
		return
	}
	p, err := w.a.slots.redeem(id, walkKey)
	if err != nil {
		return
	}
	turn := make(chan error, 1)
	w.pendingTurns, w.queued = append(w.pendingTurns, turn), append(w.queued, p)
	w.a.slots.startWhenFree(p, func(err error) { turn <- err })
}

// turns moves queued runs on that may begin or must not.
func (w *slotWalk) turns() {
	for i := len(w.pendingTurns) - 1; i >= 0; i-- {
		select {
		case err := <-w.pendingTurns[i]:
			if err == nil {
				w.working = append(w.working, w.queued[i])
			} else {
				w.a.slots.releaseUnused(w.queued[i])
			}
			w.pendingTurns, w.queued = append(w.pendingTurns[:i], w.pendingTurns[i+1:]...), append(w.queued[:i], w.queued[i+1:]...)
		default:
		}
	}
}

// end ends the oldest running run, or withdraws it.
func (w *slotWalk) end() {
	if len(w.working) == 0 {
		return
	}
	p := w.working[0]
	w.working = w.working[1:]
	if w.draws.IntN(4) == 0 {
		w.a.slots.withdraw(p)
		return
	}
	w.a.slots.finish(p, w.draws.IntN(5) > 0, 10*time.Millisecond)
}

// change makes a random change to the duty, the worker's list entry or the pool.
func (w *slotWalk) change() {
	duty := func(holder string) string { return string(config.Duty{Holder: holder, Boot: "1"}.Encode()) }
	switch w.draws.IntN(6) {
	case 0:
		w.update(config.DutyKey+walkKey, duty("b"))
	case 1, 2:
		w.update(config.DutyKey+walkKey, duty("a"))
	case 3:
		w.update(config.WorkersKey+"p", fmt.Sprintf(`{"workers":[{"name":"w","address":"127.0.0.1:%d","cell":"c"}]}`, 9+w.draws.IntN(3)))
	case 4:
		w.update(config.DocumentKey, walkPool(1+w.draws.IntN(6)))
	case 5:
		w.update(config.WorkersKey+"p", `{"workers":[]}`)
	}
}

// step makes one random step.
func (w *slotWalk) step() {
	w.pass(time.Duration(w.draws.IntN(30)) * time.Millisecond)
	switch w.draws.IntN(8) {
	case 0, 1, 2:
		w.ask()
	case 3, 4:
		w.arrive()
	case 5:
		w.end()
	case 6:
		w.a.slots.serve()
	case 7:
		if w.draws.IntN(4) == 0 {
			w.change()
		}
	}
	w.a.d.View.Update(nil, w.time()) // the adapter stays fresh
	w.turns()
}

// settle lets everything in progress end.
func (w *slotWalk) settle() {
	w.update(config.WorkersKey+"p", `{"workers":[{"name":"w","address":"127.0.0.1:9","cell":"c"}]}`)
	w.update(config.DutyKey+walkKey, string(config.Duty{Holder: "a", Boot: "1"}.Encode()))
	for len(w.pendingTurns)+len(w.working) > 0 {
		w.pass(w.a.d.Bounds.Of(timing.Permit))
		w.a.slots.serve()
		w.turns()
		for len(w.working) > 0 {
			w.end()
		}
	}
	w.pass(2 * w.a.d.Bounds.Of(timing.Permit))
	w.a.slots.serve()
}

// TestSlotsComeBack guards against leaked slots: whatever happens to a worker and its duty, each slot request must be
// answered and each granted slot given back, since a leaked slot reduces the worker's capacity for ever.
func TestSlotsComeBack(t *testing.T) {
	Convey("Of a worker whose duty, address and pool change", t, func() {
		for seed := uint64(1); seed <= walkSeeds; seed++ {
			w := newSlotWalk(seed)
			for range walkSteps {
				w.step()
			}
			w.settle()
			w.mu.Lock()
			answered := w.answered
			w.mu.Unlock()
			So(answered, ShouldEqual, w.asked)
			w.a.slots.mu.Lock()
			So(w.a.slots.permits, ShouldBeEmpty)
			for _, h := range w.a.slots.workers {
				So([]int64{h.worker.InUse(), h.worker.running, int64(len(h.queue)), int64(len(h.requests))}, ShouldResemble, []int64{0, 0, 0, 0})
			}
			w.a.slots.mu.Unlock()
		}
	})
}
