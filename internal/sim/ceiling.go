package sim

import (
	"time"

	"caperwheel/internal/check"
)

// Limits for a service whose listed workers share a rate, as the user documentation states them.
const (
	ceilingWindow      = 5 * time.Second
	ceilingOvershoot   = 1.1
	ceilingSlack       = 5 // runs
	minCeilingUse      = 0.9
	ceilingMeasureTime = 30 * time.Second // time without faults that is measured
)

// RuleCeiling is broken if a service gets more runs than its rate allows from all adapters together.
const RuleCeiling = "CEILING"

// RuleUnused is broken if a service gets clearly less than its rate while work is waiting.
const RuleUnused = "UNUSED"

// RunCeiling has the workers of a pool share a rate while more work arrives than the rate allows, workers come and
// go, and faults hit the holders of their duties. No window may have more runs than the ceiling, and after the
// faults at least nine tenths of the rate must be used.
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

// setSharedRate configures a rate that the workers share; it is called before any run starts.
func (d *Deliveries) setSharedRate(rate float64) {
	d.configure(func(c *deliveryDoc) { c.sharedRate = rate })
}

// checkCeiling checks every window against the ceiling, and the time after healedAt for an unused rate.
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
			breaches = append(breaches, d.newBreach(RuleCeiling, "%d runs in the %v before %v, at most %g are allowed", len(starts)-first, ceilingWindow, r.Start, maxRuns))
			return breaches
		}
		if r.Start >= healedAt {
			used++
		}
	}
	if minRuns := minCeilingUse * rate * ceilingMeasureTime.Seconds(); float64(used) < minRuns {
		breaches = append(breaches, d.newBreach(RuleUnused, "%d runs in %v without faults and with work waiting, at least %g are required", used, ceilingMeasureTime, minRuns))
	}
	return breaches
}
