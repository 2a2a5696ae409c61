package sim

import (
	"net/http"
	"time"

	"caperwheel/internal/check"
)

// Times of planned stops.
const (
	storeStay  = 2 * 3 * time.Second * 85 / 100 // of twice the usual bound, as a store has between SIGTERM and its end
	stopSpread = time.Second                    // between the first and the last SIGTERM of one occasion
	stopAway   = 9 * time.Second                // from the first SIGTERM until all are started again
	stopRounds = 2
)

// RuleTwice: a success that its adapter has read is not run again where all that happened was planned.
const RuleTwice = "TWICE"

// RunStops has stores and adapters stop in order about the same moment, most often all of them, under
// callers who go on, and start again. The pools know no run again, so each that is begun anew is seen.
func RunStops(seed uint64) (*Deliveries, []check.Breach) {
	d := NewDeliveries(NewWorld(seed))
	d.configure(func(c *deliveryDoc) { c.isRepeating = false })
	d.Run(3 * time.Second)
	for range stopRounds {
		d.trafficFor(2 * time.Second)
		d.stopMany()
		d.trafficFor(stopAway)
		d.heal()
		d.configure(func(c *deliveryDoc) { c.isRepeating = false })
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

// stopMany draws who is asked to stop, and when: all stores and adapters, but for one of either now and then.
func (d *Deliveries) stopMany() {
	spared := d.Rand.IntN(2 * (len(d.stores) + len(d.adapters)))
	ask := func(number int, stop func()) {
		at := time.Duration(d.Rand.Int64N(int64(stopSpread)))
		if number != spared {
			d.After(at, stop)
		}
	}
	for i, s := range d.stores {
		ask(i, s.stop)
	}
	for i, a := range d.adapters {
		ask(len(d.stores)+i, a.stop)
	}
}

// judgeTwice looks for runs of messages that had succeeded.
func (d *Deliveries) judgeTwice() (breaches []check.Breach) {
	succeeded := map[string]*check.Run{}
	for _, run := range d.runs { // in the order in which they began
		if was := succeeded[run.Id]; was != nil && run.Start >= was.End {
			breaches = append(breaches, d.breach(RuleTwice, "%s succeeded through %s at %v, and began again at %v", run.Id, was.Adapter, was.End, run.Start))
		}
		if run.Status == http.StatusOK && run.IsWhole {
			succeeded[run.Id] = run
		}
	}
	return breaches
}
