package sim

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"caperwheel/internal/config"
	"caperwheel/internal/feed"
	"caperwheel/internal/group"
	"caperwheel/internal/timing"
)

// Retirements is the name under which planned retirements of machines are selected among the faults.
const Retirements = "retirements"

// faultTime is how long faults are injected, and healTime how long the healed deployment then has to
// replicate every group fully.
const (
	faultTime = 60 * time.Second
	healTime  = 20 * time.Second
	// settleTime is the longest that faults under way may take to end.
	settleTime = 40 * time.Second
)

// DeploymentOptions select the faults of a run.
type DeploymentOptions struct {
	Seed       uint64
	Mutant     Mutant
	FaultNames []string      // names from MachineFaults and ClusterFaults, Retirements, Evacuations; empty for all
	FaultTime  time.Duration // 0 for the default
}

// RunDeployment runs a deployment under faults and checks it throughout.
func RunDeployment(o DeploymentOptions) *Deployment {
	d, names := NewDeployment(NewWorld(o.Seed), o.Mutant), o.FaultNames
	defer d.stopTasks()
	d.Run(3 * time.Second)
	end := d.now + cmp.Or(o.FaultTime, faultTime)
	for i := range operatorCount {
		d.runOperator(i+1, end)
	}
	d.writeToPlaces(end)
	d.injectMachineFaults(selectNames(MachineFaults, names), end)
	d.injectClusterFaults(selectNames(ClusterFaults, names), end)
	if len(names) == 0 || slices.Contains(names, Retirements) {
		d.retireMachines(end)
	}
	if len(names) == 0 || slices.Contains(names, Evacuations) {
		for _, zone := range zonesToEvacuate() {
			d.evacuate(zone, end)
		}
	}
	for d.now < end {
		d.Run(d.now + 100*time.Millisecond)
		d.checkActs()
		if d.mutant != NoMutant && len(d.Breaches()) > 0 {
			return d
		}
	}
	d.healAndCheck()
	return d
}

// checkActs checks the views of all daemons that may act now.
func (d *Deployment) checkActs() {
	for _, p := range d.processes() {
		if p.isUp && d.now >= p.frozenUntil && (p.isFresh() || d.mutant == UncheckedViewAge) {
			d.oracle.checkAct(p)
			d.checkEvacuated(p)
		}
	}
}

// healAndCheck ends all faults and checks the deployment: every group must be fully replicated on the
// present machines, nothing acknowledged may be missing, and every daemon must have the newest
// configuration.
func (d *Deployment) healAndCheck() {
	for settled := d.now + settleTime; d.now < settled && (d.faults.lost != nil || d.faults.retiring != nil); {
		d.Run(d.now + 100*time.Millisecond) // lets losses and retirements under way complete
	}
	d.EndFaults()
	d.net.refusingAddrs, d.LostReplies = nil, 0
	for _, m := range d.presentMachines() {
		m.store.frozenUntil, m.manager.frozenUntil = 0, 0
		m.start()
	}
	d.Run(d.now + healTime)
	commits := map[int64]int64{}
	for _, id := range groupIds() {
		if owner, _ := d.ownerAndRoster(id); owner != nil {
			commits[id] = owner.hosts[id].View().Commit
		}
	}
	d.Run(d.now + d.bound(timing.Heartbeat)) // owners commit their time; the commit reaches replicas by heartbeat
	for _, id := range groupIds() {
		d.checkGroup(id, commits[id])
	}
	d.checkEvacuationsKept()
	if revision := d.ownerConfigRevision(); revision < d.oracle.newestAcked {
		d.recordBreach("the configuration ends at revision %d at its owner, but revision %d was acknowledged", revision, d.oracle.newestAcked)
	}
	for _, p := range d.processes() {
		if c := p.configRevision(); p.isUp && c < d.oracle.newestAcked {
			d.recordBreach("%s ends with revision %d of the configuration, but revision %d was acknowledged", p.name, c, d.oracle.newestAcked)
		}
	}
	d.oracle.checkOperations()
}

// configRevision returns the revision of the configuration in the daemon's view.
func (p *process) configRevision() int64 {
	if p.view == nil {
		return 0
	}
	c, _ := p.view.Get(feed.ConfigPart, config.DocumentKey)
	return c.Revision
}

// checkGroup checks that a group's roster names present machines only, that each member has reached the
// given commit index, and that no acknowledged key is missing.
func (d *Deployment) checkGroup(id, commit int64) {
	owner, members := d.ownerAndRoster(id)
	if owner == nil {
		d.recordBreach("group %d has no owner %v after all faults ended", id, healTime)
		return
	}
	here := []string{}
	for _, m := range d.presentMachines() {
		here = append(here, m.store.memberId())
		if h := m.store.hosts[id]; slices.Contains(members, m.store.memberId()) && (h == nil || h.View().Commit < commit) {
			d.recordBreach("%s lacks committed entries of group %d", m.name, id)
		}
	}
	hasRemoved := slices.ContainsFunc(members, func(m string) bool { return !slices.Contains(here, m) })
	if hasRemoved || len(group.Voters(members)) != replicaCount {
		d.recordBreach("group %d ends with roster %v; present stores are %v", id, members, here)
	}
	for key := range d.oracle.ackedKeys[id] {
		if _, exists := d.keyRevision(id, key); !exists {
			d.recordBreach("group %d has lost key %s, which was acknowledged", id, key)
			break
		}
	}
}

// Summary describes a run in one line.
func (d *Deployment) Summary() string {
	return fmt.Sprintf("%d orders confirmed, %d refused, %d losses, %d retirements, %d machines", d.Confirmed, d.Refused, d.faults.lossCount,
		d.Retired, len(d.machines))
}
