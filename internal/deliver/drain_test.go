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

// The service that is played: an ordered one of a few workers with short runs, which is away
// for a while and comes back cold. What is committed takes commitTime; a run's way from its
// slot's grant, its start's commit included, takes wayTime.
const (
	drainWorkers   = 4
	drainSlots     = 4
	drainKeys      = 1400
	drainPerSecond = 385
	drainWanted    = 600 * time.Millisecond
	runTime        = 15 * time.Millisecond
	coldRunTime    = 24 * time.Millisecond
	coldTime       = 3 * time.Second
	commitTime     = 15 * time.Millisecond
	wayTime        = 15 * time.Millisecond
	awayFrom       = 5 * time.Second
	awayUntil      = 15 * time.Second
	drainEnd       = 40 * time.Second
)

// outageSimulation plays the service on simulated time: the place's own state machine, which orders
// messages, and the holders' own workers, which grant slots.
type outageSimulation struct {
	now      time.Duration
	random   *rand.Rand
	machine  *place.Machine
	workers  []*WorkerState
	lines    [][]func()
	events   map[time.Duration][]func()
	taken    int
	lateRuns []time.Duration // when runs began later than they were wanted
}

func newOutageSimulation() *outageSimulation {
	d := &outageSimulation{random: rand.New(rand.NewPCG(1, 2)), machine: place.New(), events: map[time.Duration][]func(){}}
	for range drainWorkers {
		w := NewWorkerState(config.Pool{Concurrency: drainSlots}, 0, 0)
		w.Configure(config.Pool{Concurrency: drainSlots}, config.Worker{Slots: drainSlots})
		d.workers = append(d.workers, w)
	}
	d.lines = make([][]func(), drainWorkers)
	return d
}

func (d *outageSimulation) after(span time.Duration, happen func()) {
	d.events[d.now+span] = append(d.events[d.now+span], happen)
}

func (d *outageSimulation) apply(c place.Command) {
	c.At = d.now.Milliseconds()
	d.machine.Apply(c)
}

// take has messages come whose keys are skewed: the least have most.
func (d *outageSimulation) take() {
	for float64(d.taken) < drainPerSecond*d.now.Seconds() {
		d.taken++
		key := int(float64(drainKeys) * d.random.Float64() * d.random.Float64())
		d.apply(place.Command{Kind: place.CmdTake, Id: fmt.Sprint(d.taken), Lane: "l", Key: fmt.Sprint(key), Ordered: true,
			Deadline: time.Minute.Milliseconds(), StartWithin: drainWanted.Milliseconds()})
	}
}

// grant gives every slot that is free to the message that is next; with isAhead false as it
// was, when a slot was held from its grant on and none waited at the worker.
func (d *outageSimulation) grant(isAhead bool) {
	if d.now >= awayFrom && d.now < awayUntil {
		return
	}
	for i, w := range d.workers {
		for d.machine.Ready(d.now.Milliseconds())["l"] > 0 {
			if !isAhead && w.inUse >= drainSlots {
				break
			}
			if isGranted, _ := w.Grant(d.now); !isGranted {
				break
			}
			d.start(i, d.machine.Pick("l", d.now.Milliseconds()))
		}
	}
}

// handleRun has a message run in a granted slot of a worker.
func (d *outageSimulation) start(i int, e *place.Message) {
	w, at, id := d.workers[i], d.now, e.Id
	if e.StartBy < d.now.Milliseconds() {
		d.lateRuns = append(d.lateRuns, d.now)
	}
	d.apply(place.Command{Kind: place.CmdStart, Id: id, Attempt: 1, Worker: "w"})
	d.after(wayTime, func() {
		w.RecordLead(d.now - at)
		d.lines[i] = append(d.lines[i], func() { d.run(w, id) })
	})
}

func (d *outageSimulation) run(w *WorkerState, id string) {
	took := runTime
	if d.now >= awayUntil && d.now < awayUntil+coldTime {
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

// play returns how long after the service is back the last run began that was late.
func (d *outageSimulation) play(isAhead bool) time.Duration {
	for ; d.now < drainEnd; d.now += time.Millisecond {
		for _, happen := range d.events[d.now] {
			happen()
		}
		delete(d.events, d.now)
		for i, w := range d.workers {
			for len(d.lines[i]) > 0 && w.TryBegin(d.now) {
				begin := d.lines[i][0]
				d.lines[i] = d.lines[i][1:]
				begin()
			}
		}
		d.take()
		d.grant(isAhead)
	}
	return d.lateRuns[len(d.lateRuns)-1] - awayUntil
}

// TestDrainAfterAnOutage: when a whole ordered service had been away for eight seconds, what
// had come meanwhile was never worked off, and nearly every run was late until the day's end.
func TestDrainAfterAnOutage(t *testing.T) {
	Convey("An ordered service that was away has worked its backlog off soon after it is back", t, func() {
		So(newOutageSimulation().play(true), ShouldBeLessThan, 10*time.Second)
		Convey("which it had not with slots held from their grant on", func() {
			So(newOutageSimulation().play(false), ShouldBeGreaterThan, drainEnd-awayUntil-time.Second)
		})
	})
}
