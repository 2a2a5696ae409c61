package sim

import (
	"context"
	"fmt"
	"time"

	"caperwheel/internal/config"
	"caperwheel/internal/errs"
	"caperwheel/internal/feed"
	"caperwheel/internal/manager"
	"caperwheel/internal/timing"
)

// Evacuations is the name of zone evacuations among the faults of a deployment.
const Evacuations = "evacuations"

// evacuations holds the zones whose evacuation was acknowledged and whose restoration has not begun, with the time
// of the acknowledgement.
type evacuations map[string]time.Duration

// evacuate has one operator evacuate and restore a zone repeatedly until the given time. Each order is retried
// until it has a definite answer, for at most as long as the managers expect retries.
func (d *Deployment) evacuate(zone string, end time.Duration) {
	d.Go(nil, func(ctx context.Context, t *task) {
		for d.now < end {
			t.sleep(time.Duration(1000+d.Rand.IntN(9000)) * time.Millisecond)
			if !d.sendZoneOrder(ctx, t, zone, (*manager.Operators).DrainZone) {
				t.sleep(2 * resendTimeout) // a retry may still be committed
				continue
			}
			d.evacuated[zone] = d.now
			d.Tracef("zone %s is evacuated", zone)
			t.sleep(time.Duration(500+d.Rand.IntN(12000)) * time.Millisecond)
			if d.now >= end {
				return // the zone stays evacuated
			}
			delete(d.evacuated, zone)
			isDone := d.sendZoneOrder(ctx, t, zone, func(o *manager.Operators, ctx context.Context, by, zone string, _ bool) (int64, error) {
				return o.RestoreZone(ctx, by, zone)
			})
			d.Tracef("zone %s is restored: %t", zone, isDone)
			if !isDone {
				t.sleep(2 * resendTimeout)
			}
		}
	})
}

// resendTimeout is how long an order without a version is retried.
const resendTimeout = 5 * time.Second

// zoneOrder is an order of an operator for a zone.
type zoneOrder func(o *manager.Operators, ctx context.Context, by, zone string, isOnlyWorkers bool) (int64, error)

// sendZoneOrder retries an order for a zone until it is acknowledged. If it returns false, the order may or may not
// have been committed. The order can always be carried out, so a refusal is a breach.
func (d *Deployment) sendZoneOrder(ctx context.Context, t *task, zone string, send zoneOrder) bool {
	for until := d.now + resendTimeout; d.now < until && !d.hasEndedFaults; {
		got, isTold := d.callManager(ctx, func(ctx context.Context, o *manager.Operators) any {
			_, err := send(o, ctx, "operator", zone, true)
			return &operationReply{err}
		}).(*operationReply)
		switch {
		case !isTold:
		case got.err == nil:
			return true
		case errs.Is(got.err, errs.Rejected), errs.Is(got.err, errs.Invalid), errs.Is(got.err, errs.Unknown):
			d.recordBreach("an order for zone %s was refused: %v", zone, got.err)
			return false
		}
		t.sleep(time.Duration(d.Rand.IntN(300)) * time.Millisecond)
	}
	return false
}

// checkEvacuated checks a daemon that may act now: its view must include every evacuation that was acknowledged
// longer ago than the ConfigApply bound.
func (d *Deployment) checkEvacuated(p *process) {
	for zone, at := range d.evacuated {
		if c, isThere := p.view.Get(feed.ConfigPart, config.ZoneKey+zone); d.now-at > timing.Default.ConfigApply && !(isThere && isEvacuated(c.Value)) {
			d.recordBreach("%s acts without the evacuation of zone %s, which was acknowledged %v ago", p.name, zone, d.now-at)
			delete(d.evacuated, zone) // reported once
		}
	}
}

// checkEvacuationsKept checks that a healed deployment still has every evacuation that was acknowledged.
func (d *Deployment) checkEvacuationsKept() {
	owner, _ := d.ownerAndRoster(feed.ConfigPart)
	if owner == nil {
		return // reported elsewhere
	}
	for zone := range d.evacuated {
		isThere := false
		owner.runOnHost(feed.ConfigPart, func() {
			news, _ := owner.parts[feed.ConfigPart].News(0)
			for _, c := range news.Changes {
				isThere = isThere || c.Key == config.ZoneKey+zone && !c.Gone && isEvacuated(c.Value)
			}
		})
		if !isThere {
			d.recordBreach("the evacuation of zone %s was acknowledged but is lost", zone)
		}
	}
}

func isEvacuated(raw []byte) bool { return config.ParseDrainOrder(raw).Only == config.OnlyWorkers }

// zonesToEvacuate returns the zones that operators evacuate: one with machines and one without.
func zonesToEvacuate() []string { return []string{"c2", fmt.Sprint("c", replicaCount+1)} }
