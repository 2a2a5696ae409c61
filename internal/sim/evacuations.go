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

// Evacuations is the name of the zones' evacuations among the troubles.
const Evacuations = "evacuations"

// evacuations are those that were acknowledged and that nobody has begun to take
// back, by zone, each since its acknowledgement.
type evacuations map[string]time.Duration

// evacuate has one operator evacuate a zone and take that back, again and again until
// the given time. Each order is sent again until it has a clear answer, for as long as
// the managers count on that.
func (d *Deployment) evacuate(zone string, end time.Duration) {
	d.Go(nil, func(ctx context.Context, t *task) {
		for d.now < end {
			t.sleep(time.Duration(1000+d.Rand.IntN(9000)) * time.Millisecond)
			if !d.sendZoneOrder(ctx, t, zone, (*manager.Operators).DrainZone) {
				t.sleep(2 * resendTimeout) // it may be taken yet
				continue
			}
			d.evacuated[zone] = d.now
			d.Tracef("zone %s is evacuated", zone)
			t.sleep(time.Duration(500+d.Rand.IntN(12000)) * time.Millisecond)
			if d.now >= end {
				return // it stands to the end
			}
			delete(d.evacuated, zone)
			isDone := d.sendZoneOrder(ctx, t, zone, func(o *manager.Operators, ctx context.Context, by, zone string, _ bool) (int64, error) {
				return o.RestoreZone(ctx, by, zone)
			})
			d.Tracef("zone %s is taken back: %t", zone, isDone)
			if !isDone {
				t.sleep(2 * resendTimeout)
			}
		}
	})
}

// resendTimeout is for how long an order without a number is sent again.
const resendTimeout = 5 * time.Second

type zoneOrder func(o *manager.Operators, ctx context.Context, by, zone string, isOnlyWorkers bool) (int64, error)

// sendZoneOrder sends an order about a zone until it is acknowledged; false: it may hold
// or not. There is always a way to take it, so none may be refused.
func (d *Deployment) sendZoneOrder(ctx context.Context, t *task, zone string, do zoneOrder) bool {
	for until := d.now + resendTimeout; d.now < until && !d.hasEndedFaults; {
		got, isTold := d.callManager(ctx, func(ctx context.Context, o *manager.Operators) any {
			_, err := do(o, ctx, "operator", zone, true)
			return &operationReply{err}
		}).(*operationReply)
		switch {
		case !isTold:
		case got.err == nil:
			return true
		case errs.Is(got.err, errs.Rejected), errs.Is(got.err, errs.Invalid), errs.Is(got.err, errs.Unknown):
			d.recordBreach("an order about zone %s is refused: %v", zone, got.err)
			return false
		}
		t.sleep(time.Duration(d.Rand.IntN(300)) * time.Millisecond)
	}
	return false
}

// checkEvacuated judges a daemon that may act now: it knows of each evacuation that
// was acknowledged longer ago than the bound.
func (d *Deployment) checkEvacuated(p *process) {
	for zone, at := range d.evacuated {
		if c, isThere := p.view.Get(feed.ConfigPart, config.ZoneKey+zone); d.now-at > timing.Default.ConfigApply && !(isThere && isEvacuated(c.Value)) {
			d.recordBreach("%s acts without the evacuation of %s, which was acknowledged %v ago", p.name, zone, d.now-at)
			delete(d.evacuated, zone) // said once
		}
	}
}

// checkEvacuationsKept judges a healed deployment: all that was evacuated still is.
func (d *Deployment) checkEvacuationsKept() {
	owner, _ := d.ownerAndRoster(feed.ConfigPart)
	if owner == nil {
		return // said already
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
			d.recordBreach("the evacuation of %s was acknowledged and is lost", zone)
		}
	}
}

func isEvacuated(raw []byte) bool { return config.ParseDrainOrder(raw).Only == config.OnlyWorkers }

// zonesToEvacuate are the zones that are evacuated: one with machines and one without.
func zonesToEvacuate() []string { return []string{"c2", fmt.Sprint("c", replicaCount+1)} }
