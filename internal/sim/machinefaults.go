package sim

import (
	"context"
	"fmt"
	"slices"
	"time"

	"caperwheel/internal/group"
)

// faultState holds the faults under way in a run. At most one machine is lost at a time; the next loss
// begins exactly CatchUpTime after the previous machine is back or its replacement has started. Cluster
// faults occur independently.
type faultState struct {
	clusterFaultsUntil time.Duration      // end of the last cluster fault's effect on links and machines
	retiring           *machine           // the machine that is being retired; nil for none
	lost               *machine           // the machine that is lost; nil for none
	cutNewMachine      func(other string) // cuts links between a new machine and the isolated one; nil for none
	lossCount          int                // losses that have ended
}

// MachineFaults are the ways in which one machine is lost, by name. Each function returns when the machine
// or its replacement is back.
var MachineFaults = map[string]func(d *Deployment, t *task, m *machine){
	"cut off":     func(d *Deployment, t *task, m *machine) { d.isolate(t, m, true, true, false) },
	"apart":       func(d *Deployment, t *task, m *machine) { d.isolate(t, m, true, true, true) },
	"cut outward": func(d *Deployment, t *task, m *machine) { d.isolate(t, m, true, false, false) },
	"cut inward":  func(d *Deployment, t *task, m *machine) { d.isolate(t, m, false, true, false) },
	"refusing": func(d *Deployment, t *task, m *machine) {
		d.net.refusingAddrs = map[string]bool{m.addr: true}
		t.sleep(d.randomOutage())
		d.net.refusingAddrs = nil
	},
	"frozen": func(d *Deployment, t *task, m *machine) {
		span := d.randomOutage()
		m.store.frozenUntil, m.manager.frozenUntil = d.now+span, d.now+span
		t.sleep(span)
	},
	"restarted": func(d *Deployment, t *task, m *machine) { d.restartMachine(t, m, false) },
	"powerless": func(d *Deployment, t *task, m *machine) { d.restartMachine(t, m, true) },
	"wiped": func(d *Deployment, t *task, m *machine) {
		m.stop(true)
		m.store.wipe()
		t.sleep(time.Duration(d.Rand.IntN(2000)) * time.Millisecond)
		m.start()
	},
	"wiped beside a power loss": func(d *Deployment, t *task, m *machine) { d.wipeDuringPowerLoss(t, m) },
	"replaced":                  func(d *Deployment, t *task, m *machine) { d.replace(t, m, fmt.Sprintf("m%d", len(d.machines)+1)) },
	"moved":                     func(d *Deployment, t *task, m *machine) { d.replace(t, m, m.name) },
}

// randomOutage draws how long a machine is away: at least 20 s in one case of three.
func (d *Deployment) randomOutage() time.Duration {
	if d.Rand.IntN(3) == 0 {
		return time.Duration(20000+d.Rand.IntN(5000)) * time.Millisecond
	}
	return time.Duration(200+d.Rand.IntN(7000)) * time.Millisecond
}

// isolate cuts a machine off for a while, also from machines that are added meanwhile. With isOnlyMachines,
// operators and subscribers can still reach it.
func (d *Deployment) isolate(t *task, m *machine, isOutward, isInward, isOnlyMachines bool) {
	d.faults.cutNewMachine = func(other string) {
		if isOutward {
			d.CutLink(m.addr, other)
		}
		if isInward {
			d.CutLink(other, m.addr)
		}
	}
	for _, other := range d.machines {
		if other != m {
			d.faults.cutNewMachine(other.addr)
		}
	}
	if !isOnlyMachines {
		d.faults.cutNewMachine(operatorAddr)
		for _, f := range d.subscribers {
			d.faults.cutNewMachine(f.addr)
		}
	}
	t.sleep(d.randomOutage())
	d.faults.cutNewMachine = nil
	d.HealLinks()
}

// restartMachine stops a machine, on a power cut with the loss of unsynced writes, and starts it up to 6 s later.
func (d *Deployment) restartMachine(t *task, m *machine, isPowerCut bool) {
	m.stop(isPowerCut)
	t.sleep(time.Duration(d.Rand.IntN(6000)) * time.Millisecond)
	m.start()
}

// wipeDuringPowerLoss wipes the disk of one machine while all other machines and the subscribers, which hold
// no state, lose power at the same moment. The wiped machine starts last.
func (d *Deployment) wipeDuringPowerLoss(t *task, m *machine) {
	others := slices.DeleteFunc(d.presentMachines(), func(other *machine) bool { return other == m })
	m.stop(true)
	m.store.wipe()
	for _, other := range others {
		other.stop(true)
		d.After(time.Duration(d.Rand.IntN(1000))*time.Millisecond, other.start)
	}
	for _, f := range d.subscribers {
		f.end()
		d.After(time.Duration(d.Rand.IntN(1000))*time.Millisecond, f.start)
	}
	t.sleep(time.Duration(1000+d.Rand.IntN(1000)) * time.Millisecond)
	m.start()
}

// remove removes a machine and its disk permanently.
func (d *Deployment) remove(m *machine) {
	m.stop(true)
	m.isRemoved = true
	d.Tracef("%s is removed permanently", m.name)
}

// replace removes a machine and starts a replacement with a blank disk at a new address. The replacement has
// the original seed addresses only.
func (d *Deployment) replace(t *task, m *machine, name string) {
	d.remove(m)
	t.sleep(time.Duration(d.Rand.IntN(3000)) * time.Millisecond)
	d.add(name, fmt.Sprintf("m%d", len(d.machines)+1), m.zone).start()
}

// mayRemove reports whether a machine may be removed: at least one of the seed machines must remain, so that
// new daemons can join through the seed addresses.
func (d *Deployment) mayRemove(m *machine) bool {
	for _, seed := range d.machines[:replicaCount] {
		if seed != m && !seed.isRemoved && seed != d.faults.retiring && seed != d.faults.lost {
			return true
		}
	}
	return false
}

// injectMachineFaults causes one machine fault after another until the given time.
func (d *Deployment) injectMachineFaults(names []string, end time.Duration) {
	d.Go(nil, func(_ context.Context, t *task) {
		t.sleep(6 * time.Second)
		for len(names) > 0 && d.now < end {
			here := d.presentMachines()
			name, m := names[d.Rand.IntN(len(names))], here[d.Rand.IntN(len(here))]
			if m == d.faults.retiring && d.Rand.IntN(2) == 0 {
				continue
			}
			if (name == "replaced" || name == "moved") && (!d.mayRemove(m) || m == d.faults.retiring) {
				t.sleep(time.Millisecond)
				continue
			}
			d.Tracef("machine fault on %s: %s", m.name, name)
			d.faults.lost = m
			MachineFaults[name](d, t, m)
			d.faults.lost = nil
			d.faults.lossCount++
			d.Tracef("%s or its replacement is back", m.name)
			d.awaitCatchUp(t, name, m.name)
		}
	})
}

// awaitCatchUp waits until CatchUpTime after the last fault, then checks that every group has enough
// up-to-date copies.
func (d *Deployment) awaitCatchUp(t *task, what, name string) {
	for back := d.now; ; {
		since := max(back, d.faults.clusterFaultsUntil)
		if d.now >= since+CatchUpTime {
			break
		}
		t.sleep(since + CatchUpTime - d.now)
	}
	for _, id := range groupIds() {
		if text := d.describeMissingCopies(id); text != "" {
			d.recordBreach("%v after %s was %s, group %d %s", CatchUpTime, name, what, id, text)
		}
	}
}

// describeMissingCopies returns a description of a group that would not survive the loss of one more
// machine, or an empty string. It counts up-to-date copies only: an election under way is not a loss.
func (d *Deployment) describeMissingCopies(id int64) string {
	members, commit := d.mostAdvancedRoster(id)
	all, upToDate := group.Voters(members), 0
	for _, m := range d.presentMachines() {
		h := m.store.hosts[id]
		if m.store.isUp && h != nil && slices.Contains(all, m.store.memberId()) && h.View().Last >= commit-maxCommitLag {
			upToDate++
		}
	}
	if upToDate-1 < len(all)/2+1 {
		return fmt.Sprintf("has %d whole copies of %v", upToDate, members)
	}
	return ""
}

// mostAdvancedRoster returns the roster and commit index of the running replica with the highest commit
// index.
func (d *Deployment) mostAdvancedRoster(id int64) (members []string, commit int64) {
	commit = -1
	for _, m := range d.presentMachines() {
		if h := m.store.hosts[id]; m.store.isUp && h != nil && h.View().Commit > commit {
			members, commit = h.View().Roster, h.View().Commit
		}
	}
	return members, commit
}

// maxCommitLag is how many entries an up-to-date copy may lack while further entries are being appended.
const maxCommitLag = 20
