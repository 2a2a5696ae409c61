package deliver

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"caperwheel/internal/config"
	"caperwheel/internal/place"
)

// Parameters of the simulated service: an ordered service of a few workers with short runs, which has an outage and
// comes back cold. A commit takes commitTime; from a slot's grant to the arrival of its run, the commit of its start
// included, it takes arrivalTime.
const (
	drainWorkers     = 4
	drainSlots       = 4
	drainKeys        = 1400
	drainPerSecond   = 385
	drainStartWithin = 600 * time.Millisecond
	runTime          = 15 * time.Millisecond
	coldRunTime      = 24 * time.Millisecond
	coldTime         = 3 * time.Second
	commitTime       = 15 * time.Millisecond
	arrivalTime      = 15 * time.Millisecond
	outageStart      = 5 * time.Second
	outageEnd        = 15 * time.Second
	drainEnd         = 40 * time.Second
)

// outageSimulation runs the service on simulated time with the state machine of a place, which orders messages, and the
// worker states of the duty holders, which grant slots.
type outageSimulation struct {
	now      time.Duration
	random   *rand.Rand
	machine  *place.Machine
	workers  []*WorkerState
	queues   [][]func()
	events   map[time.Duration][]func()
	taken    int
	lateRuns []time.Duration // when runs began after the time that their message should have begun
}

// newOutageSimulation returns the simulation before any message.
func newOutageSimulation() *outageSimulation {
	d := &outageSimulation{random: rand.New(rand.NewPCG(1, 2)), machine: place.New(), events: map[time.Duration][]func(){}}
	for range drainWorkers {
		w := NewWorkerState(config.Pool{Concurrency: drainSlots}, 0, 0)
		w.Configure(config.Pool{Concurrency: drainSlots}, config.Worker{Slots: drainSlots})
		d.workers = append(d.workers, w)
	}
	d.queues = make([][]func(), drainWorkers)
	return d
}

// after schedules an event.
func (d *outageSimulation) after(span time.Duration, event func()) {
	d.events[d.now+span] = append(d.events[d.now+span], event)
}

// apply applies a command to the place at the current time.
func (d *outageSimulation) apply(c place.Command) {
	c.At = d.now.Milliseconds()
	d.machine.Apply(c)
}

// take adds the messages that are due. Their keys are skewed: the lowest numbers are the most frequent.
func (d *outageSimulation) take() {
	for float64(d.taken) < drainPerSecond*d.now.Seconds() {
		d.taken++
		key := int(float64(drainKeys) * d.random.Float64() * d.random.Float64())
		d.apply(place.Command{Kind: place.CmdTake, Id: fmt.Sprint(d.taken), Lane: "l", Key: fmt.Sprint(key), Ordered: true,
			Deadline: time.Minute.Milliseconds(), StartWithin: drainStartWithin.Milliseconds()})
	}
}

// grant grants every free slot to the next message. If grantsAhead is false, a slot is held from its grant on and no
// run queues at the worker.
func (d *outageSimulation) grant(grantsAhead bool) {
	if d.now >= outageStart && d.now < outageEnd {
		return
	}
	for i, w := range d.workers {
		for d.machine.Ready(d.now.Milliseconds())["l"] > 0 {
			if !grantsAhead && w.inUse >= drainSlots {
				break
			}
			if isGranted, _ := w.Grant(d.now); !isGranted {
				break
			}
			d.start(i, d.machine.Pick("l", d.now.Milliseconds()))
		}
	}
}

// start starts a message's run in a granted slot of a worker.
func (d *outageSimulation) start(i int, e *place.Message) {
	w, at, id := d.workers[i], d.now, e.Id
	if e.StartBy < d.now.Milliseconds() {
		d.lateRuns = append(d.lateRuns, d.now)
	}
	d.apply(place.Command{Kind: place.CmdStart, Id: id, Attempt: 1, Worker: "w"})
	d.after(arrivalTime, func() {
		w.RecordLead(d.now - at)
		d.queues[i] = append(d.queues[i], func() { d.run(w, id) })
	})
}

// run simulates a run on its worker and the commit of its result.
func (d *outageSimulation) run(w *WorkerState, id string) {
	took := runTime
	if d.now >= outageEnd && d.now < outageEnd+coldTime {
		took = coldRunTime
	}
	d.after(took, func() {
		w.RunEnded(true, took, d.now)
		d.after(commitTime, func() {
			c := place.Command{Kind: place.CmdRunSucceeded, Id: id, Retain: 1}
			c.Proof.Attempt = 1
			d.apply(c)
		})
	})
}

// simulate returns the time from the end of the outage to the last late start of a run.
func (d *outageSimulation) simulate(grantsAhead bool) time.Duration {
	for ; d.now < drainEnd; d.now += time.Millisecond {
		for _, event := range d.events[d.now] {
			event()
		}
		delete(d.events, d.now)
		for i, w := range d.workers {
			for len(d.queues[i]) > 0 && w.TryBegin(d.now) {
				begin := d.queues[i][0]
				d.queues[i] = d.queues[i][1:]
				begin()
			}
		}
		d.take()
		d.grant(grantsAhead)
	}
	return d.lateRuns[len(d.lateRuns)-1] - outageEnd
}

// TestDrainAfterAnOutage guards against a backlog that is never worked off: after an outage of a whole
// ordered service for eight seconds, nearly every later run was late.
func TestDrainAfterAnOutage(t *testing.T) {
	Convey("An ordered service has worked off its backlog soon after an outage", t, func() {
		So(newOutageSimulation().simulate(true), ShouldBeLessThan, 10*time.Second)
		Convey("which it does not if slots are held from their grant on", func() {
			So(newOutageSimulation().simulate(false), ShouldBeGreaterThan, drainEnd-outageEnd-time.Second)
		})
	})
}
