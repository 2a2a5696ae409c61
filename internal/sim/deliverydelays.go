package sim

import (
	"time"

	"caperwheel/internal/check"
)

const (
	// maxLateness is by how much a run may begin after its message's delay is over, with all well: the
	// time within which the users want one to begin.
	maxLateness = time.Second
	// Delays end between these times after the last fault.
	minDelayEnd = deliveryReconnectTime + deliverySettleTime
	maxDelayEnd = minDelayEnd + 5*time.Second
)

// DelayFaults are losses of a place's owners, of which its time must go on as long as an adapter lives.
var DelayFaults = map[string]func(d *Deliveries){
	"nothing": DeliveryFaults["nothing"], "killed stores": DeliveryFaults["killed stores"], "frozen stores": DeliveryFaults["frozen stores"],
	"power loss of stores": DeliveryFaults["power loss of stores"], "handed over": DeliveryFaults["handed over"],
	"quick restarts of adapters": func(d *Deliveries) { // the first lives on, and keeps what it heard
		a := d.adapters[1+d.Rand.IntN(len(d.adapters)-1)]
		a.kill()
		d.After(40*time.Millisecond, a.start)
	},
	"frozen adapters": DeliveryFaults["frozen adapters"], "frozen control": DeliveryFaults["frozen control"],
	"stores away": func(d *Deliveries) {
		forEach(d.stores, func(s *deliveryStore) { s.kill(true) })
		d.storesDownUntil = d.now + d.randomSeconds(8)
	},
}

// RunDelays has the owners of places be lost while messages wait out long delays, and checks that
// each begins when its delay is over by the real time: not before it has passed since the message was
// sent, and no more than maxLateness after it has passed since that was taken.
func RunDelays(seed uint64, faults ...func(*Deliveries)) (*Deliveries, []check.Breach) {
	d := NewDeliveries(NewWorld(seed))
	d.Run(2 * time.Second)
	for d.now < deliveryFaultTime {
		d.Run(d.now + 100*time.Millisecond)
		d.traffic()
		if d.Rand.IntN(5) == 0 {
			end := deliveryFaultTime + minDelayEnd + time.Duration(d.Rand.Int64N(int64(maxDelayEnd-minDelayEnd)))
			d.sendDelayed([]string{laneUnordered, laneEndpoint}[d.Rand.IntN(2)], end-d.now)
		}
		if d.Rand.IntN(15) == 0 {
			d.scheduleFault(func() { faults[d.Rand.IntN(len(faults))](d) })
		}
		if d.Rand.IntN(8) == 0 && d.now >= d.storesDownUntil {
			d.pickStore().start()
		}
	}
	d.heal()
	d.Run(deliveryFaultTime + maxDelayEnd + deliverySettleTime)
	breaches := d.checkDelays()
	d.stopTasks()
	return d, breaches
}

// checkDelays holds the beginning of each run whose message's delay ended with all well against the real time.
func (d *Deliveries) checkDelays() (breaches []check.Breach) {
	for _, s := range d.H.Sent {
		end := s.SentAt + s.Delay
		if s.Outcome != check.Taken || end < deliveryFaultTime+minDelayEnd {
			continue
		}
		switch at, hasStarted := d.firstStart(s.Id); {
		case !hasStarted && d.now <= s.AnsweredAt+s.Delay+maxLateness: // it was taken long after it was sent
		case !hasStarted:
			breaches = append(breaches, d.newBreach(RuleLate, "%s, sent at %v, has not begun %v after its delay of %v", s.Id, s.SentAt, d.now-end, s.Delay))
		case at > s.AnsweredAt+s.Delay+maxLateness:
			breaches = append(breaches, d.newBreach(RuleLate, "%s, taken by %v, begins %v after its delay of %v", s.Id, s.AnsweredAt, at-s.AnsweredAt-s.Delay, s.Delay))
		case at < end:
			breaches = append(breaches, d.newBreach(check.RuleEarly, "%s, sent at %v, begins %v before its delay of %v is over", s.Id, s.SentAt, end-at, s.Delay))
		}
	}
	return breaches
}

// RuleLate: with all well, a run begins within maxLateness of its message's delay.
const RuleLate = "LATE"

// firstStart returns when the first run of a message began, and whether one has.
func (d *Deliveries) firstStart(id string) (at time.Duration, hasStarted bool) {
	for _, run := range d.runs {
		if run.Id == id && (!hasStarted || run.Start < at) {
			at, hasStarted = run.Start, true
		}
	}
	return at, hasStarted
}
