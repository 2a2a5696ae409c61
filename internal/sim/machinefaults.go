package sim

import (
	"context"
	"fmt"
	"slices"
	"time"

	"caperwheel/internal/group"
)

// troubles are what goes wrong in a run. One machine at a time is lost; the next
// goes exactly CatchUpTime after the last is back, or after its successor's start.
// Herd troubles come beside.
type faultState struct {
	clusterFaultsUntil time.Duration // links and herds are well again from then on
	retiring           *machine      // it is being retired
	lost               *machine
	cutNewMachine      func(other string) // cuts whoever comes off from the one that is cut off; nil for none
	lossCount          int
}

// MachineFaults are the ways in which one machine is lost. Each ends when the machine
// or its successor is back.
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

// randomOutage is how long a machine is away: 20 s and more in one case of three.
func (d *Deployment) randomOutage() time.Duration {
	if d.Rand.IntN(3) == 0 {
		return time.Duration(20000+d.Rand.IntN(5000)) * time.Millisecond
	}
	return time.Duration(200+d.Rand.IntN(7000)) * time.Millisecond
}

// isolate cuts a machine off for a while, also from machines that come meanwhile.
// Where only the machines are cut, clients and followers still reach it.
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

func (d *Deployment) restartMachine(t *task, m *machine, isPowerCut bool) {
	m.stop(isPowerCut)
	t.sleep(time.Duration(d.Rand.IntN(6000)) * time.Millisecond)
	m.start()
}

// wipeDuringPowerLoss has a machine lose its disk while all others lose power at the
// same moment, those too that hold no state. The wiped one comes back last.
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

// remove takes a machine away for good, with its disk.
func (d *Deployment) remove(m *machine) {
	m.stop(true)
	m.isRemoved = true
	d.Tracef("%s is gone for good", m.name)
}

// replace takes a machine away and brings a blank one in its place, at a new
// address; it knows the old seeds only.
func (d *Deployment) replace(t *task, m *machine, name string) {
	d.remove(m)
	t.sleep(time.Duration(d.Rand.IntN(3000)) * time.Millisecond)
	d.add(name, fmt.Sprintf("m%d", len(d.machines)+1), m.zone).start()
}

// mayRemove: somebody must stay whom new daemons find by the old seeds.
func (d *Deployment) mayRemove(m *machine) bool {
	for _, seed := range d.machines[:replicaCount] {
		if seed != m && !seed.isRemoved && seed != d.faults.retiring && seed != d.faults.lost {
			return true
		}
	}
	return false
}

// lose loses one machine after another until the given time.
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
			d.Tracef("%s is lost: %s", m.name, name)
			d.faults.lost = m
			MachineFaults[name](d, t, m)
			d.faults.lost = nil
			d.faults.lossCount++
			d.Tracef("%s or its successor is back", m.name)
			d.awaitCatchUp(t, name, m.name)
		}
	})
}

// awaitCatchUp waits until all must be whole again, and looks.
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

// missing reports why a group would not outlive one more loss; empty if it would.
// An election under way is no loss: the copies count.
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

// mostAdvancedRoster is the roster of the replica that has gone furthest.
func (d *Deployment) mostAdvancedRoster(id int64) (members []string, commit int64) {
	commit = -1
	for _, m := range d.presentMachines() {
		if h := m.store.hosts[id]; m.store.isUp && h != nil && h.View().Commit > commit {
			members, commit = h.View().Roster, h.View().Commit
		}
	}
	return members, commit
}

// maxCommitLag is how many entries a whole copy may be behind while more come.
const maxCommitLag = 20
