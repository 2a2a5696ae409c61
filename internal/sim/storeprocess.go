package sim

import (
	"fmt"
	"time"

	"caperwheel/internal/duty"
	"caperwheel/internal/group"
	"caperwheel/internal/host"
	"caperwheel/internal/repair"
	"caperwheel/internal/store"
	"caperwheel/internal/timing"
	"caperwheel/internal/wire"
)

// storeProcess is a simulated store: one replica for each group that it hosts, each with a real part host
// above it. The groups of places have part hosts too, since this simulation only checks that acknowledged
// writes are not lost.
type storeProcess struct {
	process
	incarnation   int      // identifies the disk; changes when it is wiped
	initialRoster []string // members at bootstrap; nil for a store that joined later
	disks         map[int64]*Disk
	hosts         map[int64]*host.Host
	parts         map[int64]*store.PartHost
	rosterPlanner *store.RosterPlanner
	hasJoined     bool // the store has joined the deployment
}

func newStoreProcess(d *Deployment, m *machine) *storeProcess {
	s := &storeProcess{disks: map[int64]*Disk{}}
	s.process = process{d: d, kind: "store", name: m.name, addr: m.addr + ":store", zone: m.zone, machine: m}
	s.handler = s.handleRequest
	d.serial++
	s.incarnation = d.serial
	return s
}

// memberId returns the id under which the store is a member of groups.
func (s *storeProcess) memberId() string { return fmt.Sprintf("%s/%d", s.name, s.incarnation) }

func (s *storeProcess) start() {
	if s.isUp {
		return
	}
	s.seedAddrs = s.d.seedAddrs()
	s.begin(fmt.Sprintf("%d.%d", s.incarnation, s.generation+1))
	s.rosterPlanner, s.hasJoined = store.NewRosterPlanner(timing.Default, replicaCount), s.initialRoster != nil || len(s.disks) > 0
	s.hosts, s.parts = map[int64]*host.Host{}, map[int64]*store.PartHost{}
	for _, id := range groupIds() {
		if s.initialRoster != nil || s.disks[id] != nil {
			s.openReplica(id)
		}
	}
	s.every(func() time.Duration { return s.d.bound(timing.Tick) }, s.tick)
	s.every(func() time.Duration { return s.d.bound(timing.JoinInterval) }, s.join)
	s.every(s.pause, func() { s.noteMembers(); s.poll(s.managerAddrs(), s.owned()) })
}

// wipe replaces the disk by a blank one, which makes the store a new incarnation, as the real store's
// identity does. Under the mutant KeptIdentity the incarnation stays the same.
func (s *storeProcess) wipe() {
	s.disks = map[int64]*Disk{}
	if s.d.mutant == KeptIdentity {
		return
	}
	s.d.serial++
	s.incarnation, s.initialRoster = s.d.serial, nil
	s.d.Tracef("the disk of %s is replaced by a blank one; its member id is %s now", s.name, s.memberId())
}

// openDisks returns the disks of the groups that the store holds, ordered by group.
func (s *storeProcess) openDisks() []*Disk {
	out := []*Disk{}
	for _, id := range groupIds() {
		if s.disks[id] != nil {
			out = append(out, s.disks[id])
		}
	}
	return out
}

// openReplica starts the replica of a group, as store.Store does.
func (s *storeProcess) openReplica(id int64) *host.Host {
	disk := s.disks[id]
	if disk == nil {
		disk = &Disk{w: s.d.World, isAckingEarly: s.d.mutant == EarlyDiskAck}
		s.disks[id] = disk
	}
	part := store.NewPartHost(&storeEnvironment{s: s}, id)
	h, err := host.New(host.Options{Id: id, Self: s.memberId(), Roster: s.initialRoster, Bounds: timing.Default,
		Seed: s.d.Seed + uint64(s.generation)*31 + uint64(s.incarnation)*1009, Disk: &groupDisk{disk, s, id}, Held: disk.Held(),
		Machine: &recordingPart{PartHost: part, s: s, id: id, snapshot: part.Snapshot(), timeLead: s.d.proposals.newTimeLead()}, Now: s.now, Send: s.sendGroupMessage, OnFailure: func(err error) { panic(err) },
		PreferredOwner: func(roster []string) string { return s.preferredOwner(id, roster) },
		PlanRoster: func(silence repair.Silence) (map[string]string, []string) {
			return s.planRoster(id, silence)
		}, CompactEntries: 20, MaxMessageBytes: 2000, Schedule: func(span time.Duration, work func()) { s.schedule(id, span, work) }})
	if err != nil {
		panic(err)
	}
	s.hosts[id], s.parts[id] = h, part
	part.Attach(&recordingGroup{Group: wrapGroup(s.d.mutant, h), proposals: s.d.proposals})
	return h
}

// tick ticks the hosts of all groups and runs their pending work.
func (s *storeProcess) tick() {
	for _, id := range groupIds() {
		if h := s.hosts[id]; h != nil {
			h.Tick()
			h.RunPending()
		}
	}
}

// schedule runs work of a group after a delay, once the store is not frozen; not after a restart.
func (s *storeProcess) schedule(id int64, span time.Duration, work func()) {
	generation := s.generation
	s.d.After(span, func() {
		if s.isUp && s.generation == generation {
			s.d.runWhenThawed(&s.lifecycle, func() { work(); s.hosts[id].RunPending() })
		}
	})
}

// runOnHost queues work on a group's host and, unless the store is frozen, runs it. It reports whether the
// work was accepted.
func (s *storeProcess) runOnHost(id int64, work func()) bool {
	h := s.hosts[id]
	if h == nil {
		return false
	}
	if h.Do(work) != nil {
		return false
	}
	if s.d.now >= s.frozenUntil {
		h.RunPending()
	}
	return true
}

// preferredOwner spreads ownership over the members that are present and not retired, by rendezvous hashing.
func (s *storeProcess) preferredOwner(id int64, roster []string) string {
	compiled, names, members := s.configs.Current(), []string{}, map[string]string{}
	for _, m := range group.Voters(roster) {
		name := group.Name(m)
		if _, isHere := s.membership.Find(name); isHere && !compiled.RetiredStores[name] {
			names, members[name] = append(names, name), m
		}
	}
	return members[duty.HighestRanked(fmt.Sprint(id), names)]
}

// sendGroupMessage sends a group message to the store that is registered under the member's name.
func (s *storeProcess) sendGroupMessage(m wire.GroupMsg) {
	who, isMember := s.membership.Find(group.Name(m.To))
	to, isKnown := s.d.processAt(who.Addr)
	if !isMember || !isKnown {
		return
	}
	if s.d.net.refusingAddrs[to.machineAddr()] || !to.isUp {
		s.reportStoreDown(group.Name(m.To))
		return
	}
	s.d.Send(s.machineAddr(), to.machineAddr(), func() {
		if to.isUp {
			to.machine.store.receive(m)
		}
	})
}

// reportStoreDown notifies all groups after 1 ms that connections to a store are refused.
func (s *storeProcess) reportStoreDown(name string) {
	generation := s.generation
	s.d.After(time.Millisecond, func() {
		if s.isUp && s.generation == generation && s.d.now >= s.frozenUntil {
			for _, id := range groupIds() {
				if h := s.hosts[id]; h != nil {
					h.ReportStoreDown(name)
					h.RunPending()
				}
			}
		}
	})
}

// receive passes a group message to its replica. It creates the replica if the message appends entries or
// carries a snapshot; a store that has not joined drops all messages.
func (s *storeProcess) receive(m wire.GroupMsg) {
	h := s.hosts[m.Group]
	if !s.hasJoined {
		return
	}
	if h == nil {
		if m.Kind != group.MsgAppend && m.Kind != group.MsgSnapshot && m.Kind != group.MsgSnapshotChunk {
			return
		}
		h = s.openReplica(m.Group)
	}
	h.Receive(m)
	if s.d.now >= s.frozenUntil {
		h.RunPending()
	}
}

// handleRequest answers requests of managers, as store.Store does.
func (s *storeProcess) handleRequest(request any, answer func(any)) {
	now := s.now()
	switch m := request.(type) {
	case *wire.Follow:
		out := &wire.Followed{Parts: []wire.PartNews{}}
		for _, revision := range m.Revisions {
			s.runOnHost(revision.Part, func() {
				if news, isOurs := s.parts[revision.Part].News(revision.Revision); isOurs {
					out.Parts = append(out.Parts, news)
				}
			})
		}
		answer(out)
	case *wire.Edit:
		edit := *m
		if s.d.mutant == UnconditionalEdits {
			edit.IfRevision = -1
		}
		if !s.runOnHost(m.Part, func() { s.parts[m.Part].Edit(edit, answer) }) {
			answer(&wire.Edited{Kind: "not_owner"})
		}
	case *wire.Pull:
		if !s.runOnHost(m.Part, func() { s.parts[m.Part].Pull(m.Key, now, answer) }) {
			answer(&wire.Pulled{Kind: "not_owner", Change: wire.Change{Value: []byte{}}})
		}
	case *wire.Retire:
		s.reportStandings(m.Store, now, answer)
	}
}
