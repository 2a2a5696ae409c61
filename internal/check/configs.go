package check

import (
	"slices"
	"time"
)

// configTimeout is how long after its acknowledgement a configuration may still not be in force everywhere.
const configTimeout = 3 * time.Second

// inForce is InForce over the configurations of the checked history.
func (c *checker) inForce(first, last time.Duration) []Edit { return InForce(c.h.Edits, first, last) }

// InForce returns the configurations that may have been in force at some time between first and last: those that were
// sent by last and are not older than one that was acknowledged more than configTimeout before first.
func InForce(edits []Edit, first, last time.Duration) []Edit {
	newest := int64(0)
	for _, e := range edits {
		if e.AcknowledgedAt > 0 && e.AcknowledgedAt+configTimeout < first {
			newest = max(newest, e.Revision)
		}
	}
	return slices.DeleteFunc(slices.Clone(edits), func(e Edit) bool {
		return e.SentAt > last || e.AcknowledgedAt > 0 && e.Revision < newest
	})
}

// isPoolAllowed reports whether some configuration that may have been in force allows the lane to use the run's pool.
func (c *checker) isPoolAllowed(lane string, r Run) bool {
	if len(c.h.Edits) == 0 {
		return slices.Contains(c.h.LanePools[lane], r.Pool)
	}
	return slices.ContainsFunc(c.inForce(r.Start, r.Start), func(e Edit) bool { return slices.Contains(e.Pools[lane], r.Pool) })
}

// maxRateCap returns the largest rate cap of a pool that may have been in force in the rateWindow before at.
func (c *checker) maxRateCap(pool string, at time.Duration) float64 {
	if len(c.h.Edits) == 0 {
		return c.h.RateCaps[pool]
	}
	maxCap := 0.0
	for _, e := range c.inForce(at-rateWindow, at) {
		maxCap = max(maxCap, e.RateCaps[pool])
	}
	return maxCap
}

// checkConfigs checks that, configTimeout after a configuration was acknowledged, no run is started and no message is
// answered under an older one.
func (c *checker) checkConfigs() {
	acknowledged := slices.DeleteFunc(slices.Clone(c.h.Edits), func(e Edit) bool { return e.AcknowledgedAt == 0 })
	checkRevision := func(at time.Duration, revision int64, form string, args ...any) {
		for _, e := range acknowledged {
			if revision > 0 && e.AcknowledgedAt+configTimeout < at && revision < e.Revision {
				c.addBreach(RuleStaleConfig, form+" at %v under configuration %d, although %d was acknowledged at %v", append(args, at, revision, e.Revision, e.AcknowledgedAt)...)
				return
			}
		}
	}
	for _, r := range c.h.Runs {
		checkRevision(r.Start, r.Revision, "%s ran %s", r.Adapter, r.Token)
	}
	for _, s := range c.h.Sent {
		checkRevision(s.SentAt, s.Revision, "%s was answered", s.Token)
	}
}

// checkDrains checks that draining workers and evacuated zones get no new run once their grace period is over.
func (c *checker) checkDrains() {
	for _, drain := range c.h.Drains {
		for _, r := range c.h.Runs {
			isDrained := drain.Worker != "" && r.Pool == drain.Pool && r.Worker == drain.Worker ||
				drain.Worker == "" && c.h.Zones[r.Pool+"/"+r.Worker] == drain.Zone
			if isDrained && r.Start > drain.From+drain.Grace && (drain.Until == 0 || r.Start < drain.Until) {
				c.addBreach(RuleRunAfterDrain, "%s/%s got a run of %s %v after its drain began", r.Pool, r.Worker, r.Token, r.Start-drain.From)
			}
		}
	}
}
