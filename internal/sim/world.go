// Package sim runs the real state machines on a simulated clock, network and
// disk. One seed decides everything: the same seed gives the same run.
package sim

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"
)

type event struct {
	at       time.Duration
	sequence int64
	work     func()
}

type eventQueue []event

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].sequence < q[j].sequence
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(event)) }
func (q *eventQueue) Pop() any {
	old := *q
	e := old[len(old)-1]
	*q = old[:len(old)-1]
	return e
}

// World is the clock, the dice and the trace of one run.
type World struct {
	Seed     uint64
	Rand     *rand.Rand
	Trace    []string
	now      time.Duration
	sequence int64
	queue    eventQueue
	tasks    []*task
	cuts     map[[2]string]bool
	// hasEndedFaults: no more faults are caused.
	hasEndedFaults bool
	// Loss is the share of messages lost, in thousandths. Slow is the longest
	// delay of a message. Stuck is the share that comes only after seconds.
	LostMessages  int
	MaxDelay      time.Duration
	StuckMessages int
	stuckMessages []*stuckMessage // under way
}

// stuckMessage comes only after seconds, or once the faults have ended.
type stuckMessage struct {
	deliver func()
	isOver  bool
}

func (m *stuckMessage) arrive() {
	if !m.isOver {
		m.isOver = true
		m.deliver()
	}
}

// NewWorld starts a run.
func NewWorld(seed uint64) *World {
	return &World{Seed: seed, Rand: rand.New(rand.NewPCG(seed, 17)), cuts: map[[2]string]bool{}, MaxDelay: 5 * time.Millisecond}
}

// Now is the simulated time.
func (w *World) Now() time.Duration { return w.now }

// After does work once delay has passed.
func (w *World) After(delay time.Duration, work func()) {
	w.sequence++
	heap.Push(&w.queue, event{w.now + delay, w.sequence, work})
}

// Run lets time pass until the given moment.
func (w *World) Run(until time.Duration) {
	for len(w.queue) > 0 && w.queue[0].at <= until {
		e := heap.Pop(&w.queue).(event)
		w.now = e.at
		e.work()
	}
	w.now = until
}

// Tracef adds a line to the trace that a failing seed prints.
func (w *World) Tracef(format string, args ...any) {
	line := fmt.Sprintf("%8.3fs ", w.now.Seconds()) + fmt.Sprintf(format, args...)
	if len(w.Trace) > 20000 {
		w.Trace = w.Trace[5000:]
	}
	w.Trace = append(w.Trace, line)
}

// Cut stops messages from one name to another; one way only.
func (w *World) CutLink(from, to string) { w.cuts[[2]string{from, to}] = true }

// EndFaults ends all faults for good: what was stuck comes now, as on links that are well again.
func (w *World) EndFaults() {
	w.hasEndedFaults, w.LostMessages, w.StuckMessages, w.MaxDelay = true, 0, 0, 5*time.Millisecond
	w.HealLinks()
	for _, m := range w.stuckMessages {
		w.After(0, m.arrive)
	}
	w.stuckMessages = nil
}

// HealLinks ends all cuts.
func (w *World) HealLinks() { w.cuts = map[[2]string]bool{} }

// Send delivers a message after a random delay, unless it is cut or lost.
// Messages of one pair may overtake each other.
func (w *World) Send(from, to string, deliver func()) {
	if w.cuts[[2]string{from, to}] || w.Rand.IntN(1000) < w.LostMessages {
		return
	}
	delay := time.Duration(w.Rand.Int64N(int64(w.MaxDelay))) + 100*time.Microsecond
	if w.StuckMessages > 0 && w.Rand.IntN(1000) < w.StuckMessages {
		delay += time.Duration(w.Rand.IntN(10000)) * time.Millisecond
		m := &stuckMessage{deliver: deliver}
		w.stuckMessages, deliver = append(w.stuckMessages, m), m.arrive
	}
	w.After(delay, deliver)
}

// syncTime is how long a sync takes: mostly short, now and then long, so that a
// power cut finds something unsynced.
func (w *World) syncTime() time.Duration {
	if w.Rand.IntN(10) == 0 {
		return time.Duration(w.Rand.IntN(80)) * time.Millisecond
	}
	return time.Duration(500+w.Rand.IntN(2000)) * time.Microsecond
}

// scheduleFault does work at a random moment of the next tenth of a second, unless the
// run has come to its calm end by then.
func (w *World) scheduleFault(work func()) {
	w.After(time.Duration(w.Rand.Int64N(int64(100*time.Millisecond))), func() {
		if !w.hasEndedFaults {
			work()
		}
	})
}
