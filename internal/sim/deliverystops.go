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
	storeStay  = 2 * 3 * time.Second * 85 / 100 // of twice the usual bound, as a store has between SIGTERM and its end
	stopSpread = time.Second                    // between the first and the last SIGTERM of one occasion
	stopAway   = 13 * time.Second               // from the first SIGTERM until all are started again
	stopRounds = 2
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
		d.configure(func(c *deliveryDoc) { c.isRepeating = false })
		d.worker().isSlow = true
		d.trafficFor(2 * time.Second)
		d.stopMany()
		d.trafficFor(stopAway)
		d.heal()
		d.trafficFor(deliveryContact)
	}
	d.Run(d.now + deliverySettle)
	breaches := d.judgeTwice()
	d.stopTasks()
	return d, breaches
}

func (d *Deliveries) trafficFor(span time.Duration) {
	for end := d.now + span; d.now < end; {
		d.Run(d.now + 100*time.Millisecond)
		d.traffic()
	}
}

// stopMany draws who is asked to stop, and when: all stores and adapters, but for one of either now and then, the
// adapters at the stores' side or only as the time of these is over.
func (d *Deliveries) stopMany() {
	late := time.Duration(0)
	if d.Rand.IntN(3) == 0 {
		late = storeStay
	}
	spared := d.Rand.IntN(2 * (len(d.stores) + len(d.adapters)))
	ask := func(number int, after time.Duration, stop func()) {
		at := after + time.Duration(d.Rand.Int64N(int64(stopSpread)))
		if number != spared {
			d.After(at, stop)
		}
	}
	for i, s := range d.stores {
		ask(i, 0, s.stop)
	}
	for i, a := range d.adapters {
		ask(len(d.stores)+i, late, a.stop)
	}
}

// judgeTwice looks for runs of messages that had succeeded.
func (d *Deliveries) judgeTwice() (breaches []check.Breach) {
	succeeded := map[string]*check.Run{}
	for _, run := range d.runs { // in the order in which they began
		if was := succeeded[run.Id]; was != nil && run.Start >= was.End {
			breaches = append(breaches, d.breach(RuleTwice, "%s succeeded through %s at %v, and began again at %v",
				run.Id, was.Adapter, was.End, run.Start))
		}
		if run.Status == http.StatusOK && run.IsWhole {
			succeeded[run.Id] = run
		}
	}
	return breaches
}

// stop has the store go in order, as one does that gets SIGTERM.
func (s *deliveryStore) stop() {
	if !s.isUp {
		return
	}
	s.d.Note("stop %s", s.name)
	life, until := s.life, s.d.now+storeStay
	departure := store.NewDrain(store.DrainOptions{Daemon: s.daemon,
		Hosts: func() []*host.Host { return s.hosts }, Places: func() []*store.PlaceHost { return s.places }})
	var look func()
	look = func() {
		if !s.isUp || s.life != life {
			return
		}
		if departure.Step() || s.d.now >= until {
			s.kill(false)
			return
		}
		s.pump()
		s.d.After(s.d.bound(timing.StalePoll), look)
	}
	look()
}

// prefer is who should own a place: each in its turn, but for those that stop.
func (s *deliveryStore) prefer(number int, roster []string) string {
	for i := range roster {
		m := roster[(number+i)%len(roster)]
		name := group.Name(m)
		if !s.daemon.Membership.IsDraining(name) && (name != s.name || !s.daemon.IsDraining()) {
			return m
		}
	}
	return ""
}
