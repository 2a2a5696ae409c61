package sim

import (
	"context"
	"maps"
	"slices"
	"time"

	"caperwheel/internal/errs"
	"caperwheel/internal/manager"
)

// ClusterFaults are faults that hit many daemons, the links, or the replies to operators, by name. Each
// function starts its fault and returns for how long the fault may delay replication.
var ClusterFaults = map[string]func(d *Deployment) time.Duration{
	"lost answers": func(d *Deployment) time.Duration {
		d.LostReplies = 700
		d.After(10*time.Second, func() { d.LostReplies = 0 })
		return 0 // replies to operators do not affect the daemons
	},
	"resets": func(d *Deployment) time.Duration {
		here := d.presentMachines()
		d.net.resetConnections(here[d.Rand.IntN(len(here))].addr)
		return 0
	},
	"power loss of all": func(d *Deployment) time.Duration {
		d.Tracef("all machines lose power")
		for _, m := range d.presentMachines() {
			if m.store.isUp { // otherwise the machine is down already, through another fault
				m.stop(true)
				d.After(time.Duration(d.Rand.IntN(1000))*time.Millisecond, m.start)
			}
		}
		return time.Second
	},
	"kill of all": func(d *Deployment) time.Duration {
		d.Tracef("all processes are killed")
		for _, m := range d.presentMachines() {
			if m.store.isUp {
				m.stop(false)
				d.After(time.Duration(d.Rand.IntN(1000))*time.Millisecond, m.start)
			}
		}
		return time.Second
	},
	"slow links": func(d *Deployment) time.Duration {
		d.MaxDelay = 200 * time.Millisecond
		d.After(3*time.Second, func() { d.MaxDelay = 5 * time.Millisecond })
		return 3 * time.Second
	},
	"stuck messages": func(d *Deployment) time.Duration {
		d.StuckMessages = 30
		d.After(3*time.Second, func() { d.StuckMessages = 0 })
		return 13 * time.Second
	},
	"lost messages": func(d *Deployment) time.Duration {
		d.LostMessages = 100
		d.After(3*time.Second, func() { d.LostMessages = 0 })
		return 3 * time.Second
	},
}

// injectClusterFaults starts one of the named cluster faults after another until the given time,
// independently of the machine faults.
func (d *Deployment) injectClusterFaults(names []string, end time.Duration) {
	d.Go(nil, func(_ context.Context, t *task) {
		t.sleep(5 * time.Second)
		for len(names) > 0 && d.now < end {
			name := names[d.Rand.IntN(len(names))]
			d.Tracef("cluster fault: %s", name)
			d.faults.clusterFaultsUntil = max(d.faults.clusterFaultsUntil, d.now+ClusterFaults[name](d))
			t.sleep(time.Duration(2000+d.Rand.IntN(10000)) * time.Millisecond)
		}
	})
}

// retireMachines retires one machine after another until the given time, while other faults go on. A
// replacement is added first; the old machine and its disk are removed as soon as the retirement is reported
// done.
func (d *Deployment) retireMachines(end time.Duration) {
	d.Go(nil, func(ctx context.Context, t *task) {
		for {
			t.sleep(time.Duration(7000+d.Rand.IntN(8000)) * time.Millisecond)
			if d.now >= end {
				return
			}
			here := d.presentMachines()
			m := here[d.Rand.IntN(len(here))]
			if m == d.faults.lost || !d.mayRemove(m) {
				continue
			}
			d.faults.retiring = m
			name := nextMachineName(d)
			d.add(name, name, m.zone).start()
			t.sleep(time.Duration(d.Rand.Int64N(int64(CatchUpTime))))
			isDone := d.retireMachine(ctx, t, m)
			d.faults.retiring = nil
			if isDone {
				d.Retired++
				d.remove(m)
			}
		}
	})
}

// nextMachineName returns an unused machine name.
func nextMachineName(d *Deployment) string {
	d.serial++
	return "n" + string(rune('a'+d.serial%26)) + string(rune('a'+d.serial/26%26)) + string(rune('a'+d.serial/676%26))
}

// retireMachine requests a retirement until a manager accepts it, then polls its progress, at most 400 times
// each. It returns whether the retirement was reported done.
func (d *Deployment) retireMachine(ctx context.Context, t *task, m *machine) bool {
	for range 400 {
		if m.isRemoved || d.hasEndedFaults {
			return false
		}
		reply, isAnswered := d.callManager(ctx, func(ctx context.Context, o *manager.Operators) any {
			_, err := o.RetireStore(ctx, "operator", m.name, time.Minute)
			return &operationReply{err}
		}).(*operationReply)
		if isAnswered && errs.Is(reply.err, errs.Rejected) || isAnswered && errs.Is(reply.err, errs.Unknown) {
			d.recordBreach("the retirement of %s was refused: %v", m.name, reply.err)
			return false
		}
		if isAnswered && reply.err == nil {
			break
		}
		t.sleep(100 * time.Millisecond)
	}
	d.Tracef("%s is to be retired", m.name)
	for range 400 {
		if d.hasEndedFaults {
			return false
		}
		got, isAnswered := d.callManager(ctx, func(ctx context.Context, o *manager.Operators) any {
			state, err := o.RetirementProgress(ctx, m.name)
			return &progressReply{state, err}
		}).(*progressReply)
		if d.mutant == EarlyRemoval || isAnswered && got.err == nil && got.state.IsDone && got.state.IsRetired {
			d.Tracef("the retirement of %s is reported done", m.name)
			d.checkRetired(m)
			return true
		}
		t.sleep(200 * time.Millisecond)
	}
	return false
}

// operationReply is the reply to an operation that returns an error only.
type operationReply struct{ err error }

// progressReply is the reply to a query for a retirement's progress.
type progressReply struct {
	state manager.RetirementProgress
	err   error
}

// checkRetired checks that no group has a retired machine in its roster any more.
func (d *Deployment) checkRetired(m *machine) {
	for _, id := range groupIds() {
		_, members := d.ownerAndRoster(id)
		if slices.Contains(members, m.store.memberId()) {
			d.recordBreach("%s is reported retired but still stands in group %d: %v", m.name, id, members)
		}
	}
}

// selectNames returns the selected names of a map in order; all if none are selected.
func selectNames[F any](all map[string]F, selected []string) []string {
	out := []string{}
	for _, name := range slices.Sorted(maps.Keys(all)) {
		if len(selected) == 0 || slices.Contains(selected, name) {
			out = append(out, name)
		}
	}
	return out
}
