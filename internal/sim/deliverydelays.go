package sim

import (
	"time"

	"caperwheel/internal/check"
)

const (
	// mostLate is by how much a run may begin after its message's delay is over, with all well: the
	// time within which the users want one to begin.
	mostLate = time.Second
	// Delays end between these times after the last fault.
	delaysEndFrom  = deliveryContact + deliverySettle
	delaysEndUntil = delaysEndFrom + 5*time.Second
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
		each(d.stores, func(s *deliveryStore) { s.kill(true) })
		d.away = d.now + d.seconds(8)
	},
}

// RunDelays has the owners of places be lost while messages wait out long delays, and checks that
// each begins when its delay is over by the real time: not before it has passed since the message was
// sent, and no more than mostLate after it has passed since that was taken.
func RunDelays(seed uint64, chosen ...func(*Deliveries)) (*Deliveries, []check.Breach) {
	d := NewDeliveries(NewWorld(seed))
	d.Run(2 * time.Second)
	for d.now < deliverySpan {
		d.Run(d.now + 100*time.Millisecond)
		d.traffic()
		if d.Rand.IntN(5) == 0 {
			end := deliverySpan + delaysEndFrom + time.Duration(d.Rand.Int64N(int64(delaysEndUntil-delaysEndFrom)))
			d.callLater([]string{laneFree, laneOut}[d.Rand.IntN(2)], end-d.now)
		}
		if d.Rand.IntN(15) == 0 {
			d.soon(func() { chosen[d.Rand.IntN(len(chosen))](d) })
		}
		if d.Rand.IntN(8) == 0 && d.now >= d.away {
			d.store().start()
		}
	}
	d.heal()
	d.Run(deliverySpan + delaysEndUntil + deliverySettle)
	breaches := d.judgeDelays()
	d.stopTasks()
	return d, breaches
}

// judgeDelays holds the beginning of each run whose message's delay ended with all well against the real time.
func (d *Deliveries) judgeDelays() (breaches []check.Breach) {
	for _, s := range d.H.Sent {
		end := s.At + s.Delay
		if s.Told != check.Taken || end < deliverySpan+delaysEndFrom {
			continue
		}
		switch at, isBegun := d.begun(s.Id); {
		case !isBegun && d.now <= s.ToldAt+s.Delay+mostLate: // it was taken long after it was sent
		case !isBegun:
			breaches = append(breaches, d.breach(RuleLate, "%s, sent at %v, has not begun %v after its delay of %v", s.Id, s.At, d.now-end, s.Delay))
		case at > s.ToldAt+s.Delay+mostLate:
			breaches = append(breaches, d.breach(RuleLate, "%s, taken by %v, begins %v after its delay of %v", s.Id, s.ToldAt, at-s.ToldAt-s.Delay, s.Delay))
		case at < end:
			breaches = append(breaches, d.breach(check.RuleEarly, "%s, sent at %v, begins %v before its delay of %v is over", s.Id, s.At, end-at, s.Delay))
		}
	}
	return breaches
}

// RuleLate: with all well, a run begins within mostLate of its message's delay.
const RuleLate = "LATE"

// begun returns when the first run of a message began, and whether one has.
func (d *Deliveries) begun(id string) (at time.Duration, isBegun bool) {
	for _, run := range d.runs {
		if run.Id == id && (!isBegun || run.Start < at) {
			at, isBegun = run.Start, true
		}
	}
	return at, isBegun
}
