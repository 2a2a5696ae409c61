package sim

import (
	"fmt"
	"time"

	"caperwheel/internal/timing"
	"caperwheel/internal/wire"
)

// Deployment simulates the control side whole: machines with a store and a
// manager each, followers behind them, and operators who change the configuration
// through the managers. Groups, hosts, parts, feeds, sessions, the operators'
// code, reach and the stores' plans of repair are the real ones.
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
	LostReplies int // share of the answers to operators that are lost, in thousandths
	Refused     int // clear refusals
	Confirmed   int // orders confirmed to their operator
	Retired     int // retirements carried through
}

// Layout of a simulated deployment.
const (
	replicaCount    = 3
	extraParts      = 1    // beside the configuration's
	firstPlaceGroup = 1000 // as in the store
	placeCount      = 4
)

// CatchUpTime is how long after the end of one loss the next may come.
const CatchUpTime = 4600 * time.Millisecond

// groupIds lists the groups of a deployment.
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

// machine holds one store and one manager, which share its address and fate.
type machine struct {
	name, addr, zone string
	store            *storeProcess
	manager          *managerProcess
	isRemoved        bool // it never comes back
}

// NewDeployment founds a deployment of four machines in three zones.
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

// add brings a machine with a blank disk; it is not started yet.
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

func (m *machine) start() {
	if !m.isRemoved {
		m.store.start()
		m.manager.start()
	}
}

// timeOut ends both processes; a power cut takes what is not synced as well.
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

// here lists the machines that have not been removed.
func (d *Deployment) presentMachines() []*machine {
	out := []*machine{}
	for _, m := range d.machines {
		if !m.isRemoved {
			out = append(out, m)
		}
	}
	return out
}

// processes lists all daemons, those of removed machines too.
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

// at finds the daemon at an address.
func (d *Deployment) processAt(addr string) (*process, bool) {
	for _, p := range d.processes() {
		if p.addr == addr && (p.machine == nil || !p.machine.isRemoved) {
			return p, true
		}
	}
	return nil, false
}

func (d *Deployment) bound(r timing.Ratio) time.Duration { return timing.Default.Of(r) }

// breach notes a broken rule.
func (d *Deployment) recordBreach(format string, args ...any) { d.oracle.recordBreach(format, args...) }

// Breaches tells the rules found broken.
func (d *Deployment) Breaches() []string { return d.oracle.breaches }

// ownerAndRoster tells an owner's members of a group, if it has an owner.
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

// owned says which groups a store owns, as in its session.
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
