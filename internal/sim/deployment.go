package sim

import (
	"fmt"
	"time"

	"caperwheel/internal/timing"
	"caperwheel/internal/wire"
)

// Deployment simulates the control plane of a whole deployment: machines with a store and a manager each, an agent
// and an adapter that follow them, and operators that change the configuration through the managers. Groups, hosts,
// parts, feeds, sessions, the code for operators, the client to owners and the repair plans of the stores are the
// production code.
type Deployment struct {
	*World
	machines    []*machine
	subscribers []*subscriber
	oracle      *oracle
	mutant      Mutant
	proposals   *proposalLog
	net         network
	faults      faultState
	evacuated   evacuations
	serial      int
	LostReplies int // share of replies to operators that are lost, in thousandths
	Refused     int // orders refused for good
	Confirmed   int // orders confirmed to their operators
	Retired     int // completed retirements
}

// Layout of a simulated deployment.
const (
	replicaCount    = 3
	extraParts      = 1    // in addition to the configuration part
	firstPlaceGroup = 1000 // as in production
	placeCount      = 4
)

// CatchUpTime is the time between the end of one loss of a machine and the start of the next, within which
// replication must be restored.
const CatchUpTime = 4600 * time.Millisecond

// groupIds returns the ids of all groups of a deployment.
func groupIds() []int64 {
	out := []int64{}
	for id := range int64(extraParts) + 1 {
		out = append(out, id)
	}
	for id := range int64(placeCount) {
		out = append(out, firstPlaceGroup+id)
	}
	return out
}

// machine runs one store and one manager, which share its address and its failures.
type machine struct {
	name, addr, zone string
	store            *storeProcess
	manager          *managerProcess
	isRemoved        bool // it never restarts
}

// NewDeployment creates and starts a deployment of four machines in three zones.
func NewDeployment(w *World, mutant Mutant) *Deployment {
	d := &Deployment{World: w, oracle: newOracle(w), mutant: mutant, proposals: newProposalLog(w), evacuated: evacuations{}}
	d.net.d = d
	for i, zone := range []string{"c1", "c2", "c3", "c1"} {
		d.add(fmt.Sprintf("m%d", i+1), fmt.Sprintf("m%d", i+1), zone)
	}
	for _, m := range d.machines[:replicaCount] {
		m.store.initialRoster = []string{}
		for _, other := range d.machines[:replicaCount] {
			m.store.initialRoster = append(m.store.initialRoster, other.store.memberId())
		}
	}
	for _, m := range d.machines {
		m.start()
	}
	agent := d.addSubscriber("agent", func(p *process) []string { return p.managerAddrs() })
	d.addSubscriber("adapter", func(*process) []string { return []string{agent.addr} })
	return d
}

// add adds a machine with a blank disk, without starting it.
func (d *Deployment) add(name, addr, zone string) *machine {
	m := &machine{name: name, addr: addr, zone: zone}
	m.store = newStoreProcess(d, m)
	m.manager = newManagerProcess(d, m)
	d.machines = append(d.machines, m)
	if d.faults.cutNewMachine != nil {
		d.faults.cutNewMachine(addr)
	}
	return m
}

// start starts both processes, unless the machine was removed.
func (m *machine) start() {
	if !m.isRemoved {
		m.store.start()
		m.manager.start()
	}
}

// stop ends both processes; a power cut also loses unsynced writes.
func (m *machine) stop(isPowerCut bool) {
	m.manager.end()
	m.store.end()
	for _, disk := range m.store.openDisks() {
		if isPowerCut {
			disk.CutPower()
		} else {
			disk.Flush()
		}
	}
}

// presentMachines returns the machines that have not been removed.
func (d *Deployment) presentMachines() []*machine {
	out := []*machine{}
	for _, m := range d.machines {
		if !m.isRemoved {
			out = append(out, m)
		}
	}
	return out
}

// processes returns all daemons, including those of removed machines.
func (d *Deployment) processes() []*process {
	out := []*process{}
	for _, m := range d.machines {
		out = append(out, &m.store.process, &m.manager.process)
	}
	for _, f := range d.subscribers {
		out = append(out, &f.process)
	}
	return out
}

// processAt returns the daemon at an address.
func (d *Deployment) processAt(addr string) (*process, bool) {
	for _, p := range d.processes() {
		if p.addr == addr && (p.machine == nil || !p.machine.isRemoved) {
			return p, true
		}
	}
	return nil, false
}

// bound returns a ratio of the default bounds as a duration.
func (d *Deployment) bound(r timing.Ratio) time.Duration { return timing.Default.Of(r) }

// recordBreach records a broken rule.
func (d *Deployment) recordBreach(format string, args ...any) { d.oracle.recordBreach(format, args...) }

// Breaches returns the broken rules found so far.
func (d *Deployment) Breaches() []string { return d.oracle.breaches }

// ownerAndRoster returns the owner of a group with the newest term and the roster in its view; nil if there is no
// owner.
func (d *Deployment) ownerAndRoster(id int64) (owner *storeProcess, members []string) {
	for _, m := range d.presentMachines() {
		h := m.store.hosts[id]
		if m.store.isUp && h != nil && h.IsOwner() && (owner == nil || h.View().Term > owner.hosts[id].View().Term) {
			owner = m.store
		}
	}
	if owner != nil {
		members = owner.hosts[id].View().Roster
	}
	return owner, members
}

// owned returns the groups that a store owns, as reported in its session.
func (s *storeProcess) owned() []wire.Owned {
	out := []wire.Owned{}
	for _, id := range groupIds() {
		if h := s.hosts[id]; h != nil && h.IsOwner() {
			v := h.View()
			out = append(out, wire.Owned{Group: id, Term: v.Term, Lag: v.Lag, Size: int64(len(voters(v.Roster)))})
		}
	}
	return out
}
