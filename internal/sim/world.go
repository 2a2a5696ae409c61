// Package sim runs the production state machines on a simulated clock, network and disk. It holds
// simulations of a replica group, a place, the control plane, deliveries and a whole deployment, each with
// fault injectors and with checks of what daemons do and of the replies that clients receive. One seed
// determines a run completely. The tests of this package and the sweep command of cmd/fleet call it.
package sim

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"
)

// event is work that is due at a simulated time; events of the same time run in the order of their sequence
// numbers.
type event struct {
	at       time.Duration
	sequence int64
	work     func()
}

// eventQueue is a heap of events in the order in which they run.
type eventQueue []event

// Len, Less, Swap, Push and Pop implement heap.Interface.
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

// World is the simulated clock, network, random source and trace of one run.
type World struct {
	Seed     uint64
	Rand     *rand.Rand
	Trace    []string
	now      time.Duration
	sequence int64 // of the newest event
	queue    eventQueue
	tasks    []*task
	cuts     map[[2]string]bool // links, from and to, that drop all messages
	// hasEndedFaults is set once no more faults may be injected.
	hasEndedFaults bool
	// LostMessages is the share of messages that are lost, in thousandths. MaxDelay is the longest normal
	// delay of a message. StuckMessages is the share of messages that arrive up to 10 s late, in
	// thousandths.
	LostMessages  int
	MaxDelay      time.Duration
	StuckMessages int
	stuckMessages []*stuckMessage // under way
}

// stuckMessage is a message that arrives seconds late, or as soon as all faults have ended.
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

// NewWorld creates the world of one run.
func NewWorld(seed uint64) *World {
	return &World{Seed: seed, Rand: rand.New(rand.NewPCG(seed, 17)), cuts: map[[2]string]bool{}, MaxDelay: 5 * time.Millisecond}
}

// Now returns the simulated time.
func (w *World) Now() time.Duration { return w.now }

// After runs work after a delay.
func (w *World) After(delay time.Duration, work func()) {
	w.sequence++
	heap.Push(&w.queue, event{w.now + delay, w.sequence, work})
}

// Run processes events until the given time.
func (w *World) Run(until time.Duration) {
	for len(w.queue) > 0 && w.queue[0].at <= until {
		e := heap.Pop(&w.queue).(event)
		w.now = e.at
		e.work()
	}
	w.now = until
}

// Tracef adds a line to the trace, which is printed for a failing seed.
func (w *World) Tracef(format string, args ...any) {
	line := fmt.Sprintf("%8.3fs ", w.now.Seconds()) + fmt.Sprintf(format, args...)
	if len(w.Trace) > 20000 {
		w.Trace = w.Trace[5000:]
	}
	w.Trace = append(w.Trace, line)
}

// CutLink drops all messages from one name to another, in this direction only.
func (w *World) CutLink(from, to string) { w.cuts[[2]string{from, to}] = true }

// EndFaults ends all faults permanently and delivers stuck messages now, as recovered links would.
func (w *World) EndFaults() {
	w.hasEndedFaults, w.LostMessages, w.StuckMessages, w.MaxDelay = true, 0, 0, 5*time.Millisecond
	w.HealLinks()
	for _, m := range w.stuckMessages {
		w.After(0, m.arrive)
	}
	w.stuckMessages = nil
}

// HealLinks removes all cuts of links.
func (w *World) HealLinks() { w.cuts = map[[2]string]bool{} }

// Send delivers a message after a random delay, unless the link is cut or the message is lost. Messages
// between the same two names may be reordered.
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

// syncTime draws the duration of a sync: usually short, sometimes long, so that a power loss finds unsynced
// writes.
func (w *World) syncTime() time.Duration {
	if w.Rand.IntN(10) == 0 {
		return time.Duration(w.Rand.IntN(80)) * time.Millisecond
	}
	return time.Duration(500+w.Rand.IntN(2000)) * time.Microsecond
}

// scheduleFault runs work at a random time within the next 100 ms, unless all faults have ended by then.
func (w *World) scheduleFault(work func()) {
	w.After(time.Duration(w.Rand.Int64N(int64(100*time.Millisecond))), func() {
		if !w.hasEndedFaults {
			work()
		}
	})
}
