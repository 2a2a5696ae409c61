package sim

import (
	"net/http"
	"time"

	"caperwheel/internal/check"
	"caperwheel/internal/group"
	"caperwheel/internal/host"
	"caperwheel/internal/store"
	"caperwheel/internal/timing"
)

// Times of planned stops.
const (
	storeDrainTimeout = 2 * 3 * time.Second * 85 / 100 // of twice the usual bound, as a store has between SIGTERM and its end
	stopSpread        = time.Second                    // between the first and the last SIGTERM of one occasion
	stopDuration      = 13 * time.Second               // from the first SIGTERM until all are started again
	stopRounds        = 2
)

// RuleTwice: a success that its adapter has read is not run again where all that happened was planned.
const RuleTwice = "TWICE"

// RunStops has stores and adapters stop in order about the same moment, most often all of them, under
// callers who go on, and start again. The pools know no run again, so each that is begun anew is seen, and
// a worker takes its time.
func RunStops(seed uint64) (*Deliveries, []check.Breach) {
	d := NewDeliveries(NewWorld(seed))
	d.Run(3 * time.Second)
	for range stopRounds {
		d.configure(func(c *deliveryDoc) { c.isDeduplicating = false })
		d.pickWorker().isSlow = true
		d.trafficFor(2 * time.Second)
		d.scheduleStops()
		d.trafficFor(stopDuration)
		d.heal()
		d.trafficFor(deliveryReconnectTime)
	}
	d.Run(d.now + deliverySettleTime)
	breaches := d.checkTwice()
	d.stopTasks()
	return d, breaches
}

func (d *Deliveries) trafficFor(span time.Duration) {
	for end := d.now + span; d.now < end; {
		d.Run(d.now + 100*time.Millisecond)
		d.traffic()
	}
}

// scheduleStops draws who is asked to stop, and when: all stores and adapters, but for one of either now and then, the
// adapters at the stores' side or only as the time of these is over.
func (d *Deliveries) scheduleStops() {
	adapterDelay := time.Duration(0)
	if d.Rand.IntN(3) == 0 {
		adapterDelay = storeDrainTimeout
	}
	spared := d.Rand.IntN(2 * (len(d.stores) + len(d.adapters)))
	schedule := func(number int, after time.Duration, stop func()) {
		at := after + time.Duration(d.Rand.Int64N(int64(stopSpread)))
		if number != spared {
			d.After(at, stop)
		}
	}
	for i, s := range d.stores {
		schedule(i, 0, s.stop)
	}
	for i, a := range d.adapters {
		schedule(len(d.stores)+i, adapterDelay, a.stop)
	}
}

// checkTwice looks for runs of messages that had succeeded.
func (d *Deliveries) checkTwice() (breaches []check.Breach) {
	succeeded := map[string]*check.Run{}
	for _, run := range d.runs { // in the order in which they began
		if was := succeeded[run.Id]; was != nil && run.Start >= was.End {
			breaches = append(breaches, d.newBreach(RuleTwice, "%s succeeded through %s at %v, and began again at %v",
				run.Id, was.Adapter, was.End, run.Start))
		}
		if run.Status == http.StatusOK && run.IsAnswerComplete {
			succeeded[run.Id] = run
		}
	}
	return breaches
}

// timeOut has the store go in order, as one does that gets SIGTERM.
func (s *deliveryStore) stop() {
	if !s.isUp {
		return
	}
	s.d.Tracef("stop %s", s.name)
	generation, until := s.generation, s.d.now+storeDrainTimeout
	drain := store.NewDrain(store.DrainOptions{Daemon: s.daemon,
		Hosts: func() []*host.Host { return s.hosts }, Places: func() []*store.PlaceHost { return s.places }})
	var step func()
	step = func() {
		if !s.isUp || s.generation != generation {
			return
		}
		if drain.Step() || s.d.now >= until {
			s.kill(false)
			return
		}
		s.pump()
		s.d.After(s.d.bound(timing.StalePoll), step)
	}
	step()
}

// preferredOwner is who should own a place: each in its turn, but for those that stop.
func (s *deliveryStore) preferredOwner(number int, roster []string) string {
	for i := range roster {
		m := roster[(number+i)%len(roster)]
		name := group.Name(m)
		if !s.daemon.Membership.IsDraining(name) && (name != s.name || !s.daemon.IsDraining()) {
			return m
		}
	}
	return ""
}
