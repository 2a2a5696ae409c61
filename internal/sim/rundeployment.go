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

// Retirements is the name of the machines' planned leaving among the troubles.
const Retirements = "retirements"

// runTime is how long a deployment is troubled, and healTime how long it has
// then to be whole again everywhere.
const (
	runTime  = 60 * time.Second
	healTime = 20 * time.Second
	// settleTime is the longest that what was begun may take to its end.
	settleTime = 40 * time.Second
)

// DeploymentOptions say how a deployment is troubled.
type DeploymentOptions struct {
	Seed   uint64
	Mutant Mutant
	Only   []string      // troubles by name: of Losses, Herds, Retirements and Evacuations; empty for all
	Span   time.Duration // 0 for the usual one
}

// RunDeployment troubles a deployment for a while and judges it throughout.
func RunDeployment(o DeploymentOptions) *Deployment {
	d, only := NewDeployment(NewWorld(o.Seed), o.Mutant), o.Only
	defer d.stopTasks()
	d.Run(3 * time.Second)
	end := d.now + cmp.Or(o.Span, runTime)
	for i := range mostOrders {
		d.operate(i+1, end)
	}
	d.write(end)
	d.lose(namesOf(Losses, only), end)
	d.herd(namesOf(Herds, only), end)
	if len(only) == 0 || slices.Contains(only, Retirements) {
		d.retire(end)
	}
	if len(only) == 0 || slices.Contains(only, Evacuations) {
		for _, zone := range evacuatedZones() {
			d.evacuate(zone, end)
		}
	}
	for d.now < end {
		d.Run(d.now + 100*time.Millisecond)
		d.checkActs()
		if d.mutant != NoMutant && len(d.Broken()) > 0 {
			return d
		}
	}
	d.finish()
	return d
}

// checkActs looks at all daemons that may act now.
func (d *Deployment) checkActs() {
	for _, p := range d.processes() {
		if p.isUp && d.now >= p.frozen && (p.isFresh() || d.mutant == AnyAge) {
			d.book.acts(p)
			d.checkEvacuated(p)
		}
	}
}

// finish heals everything. Then every group must stand whole on machines that
// are here, nothing acknowledged may be missing, and all must know the newest.
func (d *Deployment) finish() {
	for settled := d.now + settleTime; d.now < settled && (d.troubles.lost != nil || d.troubles.leaving != nil); {
		d.Run(d.now + 100*time.Millisecond) // what has begun comes to its end
	}
	d.Calm()
	d.net.refusing, d.LostTells = nil, 0
	for _, m := range d.here() {
		m.store.frozen, m.manager.frozen = 0, 0
		m.start()
	}
	d.Run(d.now + healTime)
	commits := map[int64]int64{}
	for _, id := range groupIds() {
		if owner, _ := d.seats(id); owner != nil {
			commits[id] = owner.hosts[id].View().Commit
		}
	}
	d.Run(d.now + d.bound(timing.Heartbeat)) // owners commit their time: what is newest takes a moment to be told
	for _, id := range groupIds() {
		d.checkWhole(id, commits[id])
	}
	d.checkStanding()
	if revision := d.configAtOwner(); revision < d.book.newest {
		d.breach("the configuration ends at %d, %d was acknowledged", revision, d.book.newest)
	}
	for _, p := range d.processes() {
		if c := p.config(); p.isUp && c < d.book.newest {
			d.breach("%s ends with the configuration of %d, %d was acknowledged", p.name, c, d.book.newest)
		}
	}
	d.book.judge()
}

// config is the revision of the configuration that a daemon knows.
func (p *process) config() int64 {
	if p.view == nil {
		return 0
	}
	c, _ := p.view.Get(feed.ConfigPart, config.DocumentKey)
	return c.Revision
}

// checkWhole judges that a group stands on the machines that are here, and that each
// member has what was committed a moment ago.
func (d *Deployment) checkWhole(id, commit int64) {
	owner, members := d.seats(id)
	if owner == nil {
		d.breach("group %d has no owner %v after all was healed", id, healTime)
		return
	}
	here := []string{}
	for _, m := range d.here() {
		here = append(here, m.store.member())
		if h := m.store.hosts[id]; slices.Contains(members, m.store.member()) && (h == nil || h.View().Commit < commit) {
			d.breach("%s has not caught up with group %d", m.name, id)
		}
	}
	isStray := slices.ContainsFunc(members, func(m string) bool { return !slices.Contains(here, m) })
	if isStray || len(group.Voters(members)) != copies {
		d.breach("group %d ends with %v; here are %v", id, members, here)
	}
	for key := range d.book.kept[id] {
		if _, isStanding := d.standing(id, key); !isStanding {
			d.breach("group %d has lost %s, which was acknowledged", id, key)
			break
		}
	}
}

// Figures reports what a run had, in a line.
func (d *Deployment) Figures() string {
	return fmt.Sprintf("%d orders confirmed, %d refused, %d losses, %d retirements, %d machines", d.Took, d.Refused, d.troubles.count,
		d.Retired, len(d.machines))
}
