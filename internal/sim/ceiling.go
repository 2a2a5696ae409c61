package sim

import (
	"time"

	"caperwheel/internal/check"
)

// The ceiling of a service whose listed workers share a rate, as the users' pages word it.
const (
	ceilingWindow      = 5 * time.Second
	ceilingOvershoot   = 1.1
	ceilingSlack       = 5 // runs
	minCeilingUse      = 0.9
	ceilingMeasureTime = 30 * time.Second // with all well
)

// RuleCeiling: a service gets no more than its rate from all adapters together.
const RuleCeiling = "CEILING"

// RuleUnused: where work waits, a service gets nearly its rate.
const RuleUnused = "UNUSED"

// RunCeiling has the workers of a pool share a rate while more work comes than the rate allows, its workers come and go, and
// those who hold their duties are hurt. No window may have more runs than the ceiling, and in calm nine tenths of the rate are used.
func RunCeiling(seed uint64, faults ...func(*Deliveries)) (*Deliveries, []check.Breach) {
	d := NewDeliveries(NewWorld(seed))
	d.setSharedRate([]float64{2, 5, 8}[d.Rand.IntN(3)])
	d.Run(2 * time.Second)
	for d.now < deliveryFaultTime {
		d.Run(d.now + 100*time.Millisecond)
		d.traffic()
		if d.Rand.IntN(15) == 0 {
			d.scheduleFault(func() { faults[d.Rand.IntN(len(faults))](d) })
		}
		if d.Rand.IntN(8) == 0 && d.now >= d.storesDownUntil {
			d.pickStore().start()
			d.pickAdapter().start()
		}
	}
	d.heal()
	d.Run(deliveryFaultTime + deliveryReconnectTime + deliverySettleTime)
	healedAt := d.now
	for d.now < healedAt+ceilingMeasureTime {
		d.Run(d.now + 100*time.Millisecond)
		d.traffic()
	}
	breaches := d.checkCeiling(healedAt)
	d.stopTasks()
	return d, breaches
}

// share has the workers share a rate from the beginning, before anything runs.
func (d *Deliveries) setSharedRate(rate float64) {
	d.configure(func(c *deliveryDoc) { c.sharedRate = rate })
}

func (d *Deliveries) checkCeiling(healedAt time.Duration) (breaches []check.Breach) {
	rate := d.control.settings.sharedRate
	starts, first, used := []time.Duration{}, 0, 0
	for _, r := range d.runs {
		if r.Pool != "work" {
			continue
		}
		starts = append(starts, r.Start)
		for starts[first] <= r.Start-ceilingWindow {
			first++
		}
		maxRuns := rate*ceilingWindow.Seconds()*ceilingOvershoot + ceilingSlack
		if float64(len(starts)-first) > maxRuns {
			breaches = append(breaches, d.newBreach(RuleCeiling, "%d runs in the %v until %v, %g are allowed", len(starts)-first, ceilingWindow, r.Start, maxRuns))
			return breaches
		}
		if r.Start >= healedAt {
			used++
		}
	}
	if minRuns := minCeilingUse * rate * ceilingMeasureTime.Seconds(); float64(used) < minRuns {
		breaches = append(breaches, d.newBreach(RuleUnused, "%d runs in %v of calm, with work waiting; %g are asked for", used, ceilingMeasureTime, minRuns))
	}
	return breaches
}
