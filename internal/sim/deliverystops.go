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
	storeDrainTimeout = 2 * 3 * time.Second * 85 / 100 // longest time from SIGTERM to a store's end, 85 % of two bounds
	stopSpread        = time.Second                    // at most, between the first and the last SIGTERM of one round
	stopDuration      = 13 * time.Second               // from the first SIGTERM until all processes are restarted
	stopRounds        = 2
)

// RuleTwice is broken if a success whose reply the adapter has read runs again although all stops were planned.
const RuleTwice = "TWICE"

// RunStops stops stores and adapters in an orderly way at about the same time, most often all of them, while
// callers go on sending, and restarts them. The pools do not recognise repeated runs, so each repeated run is
// visible, and one worker is slow.
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

// trafficFor sends messages for the given time.
func (d *Deliveries) trafficFor(span time.Duration) {
	for end := d.now + span; d.now < end; {
		d.Run(d.now + 100*time.Millisecond)
		d.traffic()
	}
}

// scheduleStops schedules the stops of all stores and adapters, or of all but a random one. The adapters stop
// together with the stores, or in one case of three only when the drain timeout of the stores has passed.
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

// checkTwice finds runs of messages that had already succeeded.
func (d *Deliveries) checkTwice() (breaches []check.Breach) {
	succeeded := map[string]*check.Run{}
	for _, run := range d.runs { // ordered by start
		if was := succeeded[run.Id]; was != nil && run.Start >= was.End {
			breaches = append(breaches, d.newBreach(RuleTwice, "%s succeeded through %s at %v and started again at %v",
				run.Id, was.Adapter, was.End, run.Start))
		}
		if run.Status == http.StatusOK && run.IsAnswerComplete {
			succeeded[run.Id] = run
		}
	}
	return breaches
}

// stop drains the store as SIGTERM does, and ends it when the drain is done or has timed out.
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
		s.runPending()
		s.d.After(s.d.bound(timing.StalePoll), step)
	}
	step()
}

// preferredOwner returns the member that should own a place: members take turns by the number of the place, and
// draining stores are skipped.
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
