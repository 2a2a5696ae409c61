package sim

import (
	"time"

	"caperwheel/internal/check"
)

// The ceiling of a service whose listed workers share a rate, as the users' pages word it.
const (
	ceilingWindow    = 5 * time.Second
	ceilingOvershoot = 1.1
	ceilingSlack     = 5 // runs
	ceilingUsed      = 0.9
	ceilingCalm      = 30 * time.Second // with all well
)

// RuleCeiling: a service gets no more than its rate from all adapters together.
const RuleCeiling = "CEILING"

// RuleUnused: where work waits, a service gets nearly its rate.
const RuleUnused = "UNUSED"

// RunCeiling has the workers of a pool share a rate while more work comes than the rate allows, its workers come and go, and
// those who hold their duties are hurt. No window may have more runs than the ceiling, and in calm nine tenths of the rate are used.
func RunCeiling(seed uint64, chosen ...func(*Deliveries)) (*Deliveries, []check.Breach) {
	d := NewDeliveries(NewWorld(seed))
	d.share([]float64{2, 5, 8}[d.Rand.IntN(3)])
	d.Run(2 * time.Second)
	for d.now < deliverySpan {
		d.Run(d.now + 100*time.Millisecond)
		d.traffic()
		if d.Rand.IntN(15) == 0 {
			d.soon(func() { chosen[d.Rand.IntN(len(chosen))](d) })
		}
		if d.Rand.IntN(8) == 0 && d.now >= d.away {
			d.store().start()
			d.adapter().start()
		}
	}
	d.heal()
	d.Run(deliverySpan + deliveryContact + deliverySettle)
	calm := d.now
	for d.now < calm+ceilingCalm {
		d.Run(d.now + 100*time.Millisecond)
		d.traffic()
	}
	breaches := d.judgeCeiling(calm)
	d.stopTasks()
	return d, breaches
}

// share has the workers share a rate from the beginning, before anything runs.
func (d *Deliveries) share(rate float64) {
	d.configure(func(c *deliveryDoc) { c.shared = rate })
}

func (d *Deliveries) judgeCeiling(calm time.Duration) (breaches []check.Breach) {
	rate := d.control.doc.shared
	starts, first, used := []time.Duration{}, 0, 0
	for _, r := range d.runs {
		if r.Pool != "work" {
			continue
		}
		starts = append(starts, r.Start)
		for starts[first] <= r.Start-ceilingWindow {
			first++
		}
		most := rate*ceilingWindow.Seconds()*ceilingOvershoot + ceilingSlack
		if float64(len(starts)-first) > most {
			breaches = append(breaches, d.breach(RuleCeiling, "%d runs in the %v until %v, %g are allowed", len(starts)-first, ceilingWindow, r.Start, most))
			return breaches
		}
		if r.Start >= calm {
			used++
		}
	}
	if least := ceilingUsed * rate * ceilingCalm.Seconds(); float64(used) < least {
		breaches = append(breaches, d.breach(RuleUnused, "%d runs in %v of calm, with work waiting; %g are asked for", used, ceilingCalm, least))
	}
	return breaches
}
