package sim

import (
	"time"

	"caperwheel/internal/check"
)

const (
	// maxLateness bounds how long after its message's delay a run may start when there are no faults. It is the
	// users' requirement.
	maxLateness = time.Second
	// The delays of the long-delayed messages end between these times after the last fault.
	minDelayEnd = deliveryReconnectTime + deliverySettleTime
	maxDelayEnd = minDelayEnd + 5*time.Second
)

// DelayFaults are faults that lose the owners of a place. The place's group time must go on as long as an adapter
// is up.
var DelayFaults = map[string]func(d *Deliveries){
	"nothing": DeliveryFaults["nothing"], "killed stores": DeliveryFaults["killed stores"], "frozen stores": DeliveryFaults["frozen stores"],
	"power loss of stores": DeliveryFaults["power loss of stores"], "handed over": DeliveryFaults["handed over"],
	"quick restarts of adapters": func(d *Deliveries) { // never the first adapter, which keeps the group times it was sent
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

// RunDelays loses the owners of places while messages wait out long delays, and checks in real time that each run
// starts when its delay is over: not before the delay has passed since the message was sent, and no more than
// maxLateness after it has passed since the message was accepted.
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

// checkDelays checks the first start of each message whose delay ended after the faults against real time.
func (d *Deliveries) checkDelays() (breaches []check.Breach) {
	for _, s := range d.H.Sent {
		end := s.SentAt + s.Delay
		if s.Outcome != check.Taken || end < deliveryFaultTime+minDelayEnd {
			continue
		}
		switch at, hasStarted := d.firstStart(s.Id); {
		case !hasStarted && d.now <= s.AnsweredAt+s.Delay+maxLateness: // it was accepted long after it was sent
		case !hasStarted:
			breaches = append(breaches, d.newBreach(RuleLate, "%s, sent at %v, has not started %v after its delay of %v", s.Id, s.SentAt, d.now-end, s.Delay))
		case at > s.AnsweredAt+s.Delay+maxLateness:
			breaches = append(breaches, d.newBreach(RuleLate, "%s, accepted by %v, started %v after its delay of %v", s.Id, s.AnsweredAt, at-s.AnsweredAt-s.Delay, s.Delay))
		case at < end:
			breaches = append(breaches, d.newBreach(check.RuleEarly, "%s, sent at %v, started %v before the end of its delay of %v", s.Id, s.SentAt, end-at, s.Delay))
		}
	}
	return breaches
}

// RuleLate is broken if, without faults, a run starts later than maxLateness after the delay of its message.
const RuleLate = "LATE"

// firstStart returns when the first run of a message started, and whether one has.
func (d *Deliveries) firstStart(id string) (at time.Duration, hasStarted bool) {
	for _, run := range d.runs {
		if run.Id == id && (!hasStarted || run.Start < at) {
			at, hasStarted = run.Start, true
		}
	}
	return at, hasStarted
}
