package sim

import (
	"fmt"
	"slices"
	"time"

	"caperwheel/internal/group"
	"caperwheel/internal/timing"
	"caperwheel/internal/wire"
)

// replicaDisk is the durable state of a replica. A power cut loses the writes in unsynced from a random point on.
type replicaDisk struct {
	hardState group.HardState
	snapshot  *group.Snapshot
	log       []wire.Entry
	unsynced  []pendingWrite
}

// Replica is one member of a simulated group, with its state machine: a list of the applied commands.
type Replica struct {
	Id         string
	machine    *group.Group
	disk       replicaDisk
	isUp       bool
	generation int
	Applied    []string
	snapshot   *group.Snapshot
}

// ReplicaGroup simulates one replicated group.
type ReplicaGroup struct {
	*World
	Replicas       map[string]*Replica
	Names          []string
	founders       []string
	owners         map[int64]string // term -> owner, to detect two owners in one term
	Acked          map[string]bool  // commands whose proposer saw their commit
	Breaches       []string         // broken rules found so far
	longestApplied []string         // longest list of commands applied by any replica
	ackedAt        map[string]time.Duration
	pending        map[string]pendingCommand
	incarnations   int
}

// pendingCommand is a proposed command: where it is in the log, and who proposed it.
type pendingCommand struct {
	index, term int64
	by          string
}

// NewReplicaGroup creates a group with a replica on each of the named stores, and starts it.
func NewReplicaGroup(w *World, names ...string) *ReplicaGroup {
	g := &ReplicaGroup{World: w, Replicas: map[string]*Replica{}, owners: map[int64]string{}, Acked: map[string]bool{},
		ackedAt: map[string]time.Duration{}, pending: map[string]pendingCommand{}}
	for _, name := range names {
		g.founders = append(g.founders, name+"/0")
	}
	for _, id := range g.founders {
		g.Names = append(g.Names, id)
		g.Replicas[id] = &Replica{Id: id}
		g.Start(id)
	}
	return g
}

// recordBreach notes a broken rule in the trace and the list of breaches.
func (g *ReplicaGroup) recordBreach(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	g.Tracef("BROKEN %s", text)
	g.Breaches = append(g.Breaches, text)
}

// Start starts a replica from its disk.
func (g *ReplicaGroup) Start(id string) {
	r := g.Replicas[id]
	if r.isUp {
		return
	}
	r.isUp, r.generation = true, r.generation+1
	roster := []string(nil)
	if slices.Contains(g.founders, id) {
		roster = g.founders
	}
	r.machine = group.New(group.Options{Id: 1, Self: id, Roster: roster, Bounds: timing.Default,
		Seed: g.Seed + uint64(r.generation)}, r.disk.hardState, r.disk.snapshot, slices.Clone(r.disk.log), g.now)
	r.Applied, r.snapshot = nil, r.disk.snapshot
	if r.snapshot != nil {
		r.Applied = decodeCommands(r.snapshot.State)
	}
	g.apply(r, r.machine.Committed())
	generation := r.generation
	var tick func()
	tick = func() {
		if r.isUp && r.generation == generation {
			g.execute(r, r.machine.Tick(g.now))
			g.After(20*time.Millisecond, tick)
		}
	}
	g.After(0, tick)
	g.Tracef("start %s", id)
}

// Kill stops a replica as a power cut does: unsynced writes are lost from a random point on.
func (g *ReplicaGroup) Kill(id string) {
	r := g.Replicas[id]
	if !r.isUp {
		return
	}
	r.isUp, r.generation = false, r.generation+1
	kept := g.Rand.IntN(len(r.disk.unsynced) + 1)
	for _, p := range r.disk.unsynced[:kept] {
		p.write()
	}
	r.disk.unsynced = nil
	g.Tracef("kill %s, kept %d unsynced", id, kept)
}

// ReplaceDisk gives a replica a blank disk; it returns as a new incarnation, whose id is returned.
func (g *ReplicaGroup) ReplaceDisk(id string) string {
	g.Kill(id)
	g.incarnations++
	newId := fmt.Sprintf("%s/%d", group.Name(id), g.incarnations)
	delete(g.Replicas, id)
	g.Names[slices.Index(g.Names, id)] = newId
	g.Replicas[newId] = &Replica{Id: newId}
	g.Tracef("disk of %s is replaced, new id %s", id, newId)
	g.Start(newId)
	return newId
}

func encodeCommands(list []string) []byte {
	out := []byte{}
	for _, s := range list {
		out = append(append(out, s...), '\n')
	}
	return out
}

func decodeCommands(raw []byte) []string {
	out, from := []string{}, 0
	for i, b := range raw {
		if b == '\n' {
			out, from = append(out, string(raw[from:i])), i+1
		}
	}
	return out
}

// execute carries out the output of one step of a replica.
func (g *ReplicaGroup) execute(r *Replica, out group.Output) {
	for _, m := range out.SendNow {
		g.post(r, m)
	}
	if p := out.Persist; p != nil {
		g.persist(r, p, out.SendAfterSync)
	} else {
		for _, m := range out.SendAfterSync { // after the writes that are still unsynced
			g.persist(r, &group.DurableUpdate{}, []wire.GroupMsg{m})
		}
	}
	if out.Install != nil {
		r.snapshot, r.Applied = out.Install, decodeCommands(out.Install.State)
		g.checkPrefix(r)
	}
	g.apply(r, out.Apply)
	if v := r.machine.View(); v.Role == group.Owner {
		if was := g.owners[v.Term]; was != "" && was != r.Id {
			g.recordBreach("two owners in term %d: %s and %s", v.Term, was, r.Id)
		}
		g.owners[v.Term] = r.Id
	}
	if len(r.Applied) > 0 && len(r.Applied)%40 == 0 {
		if image := r.machine.Compact(r.machine.View().Commit, encodeCommands(r.Applied)); image != nil {
			r.snapshot = image
			hard, log := r.machine.DurableState()
			g.write(r, func() { r.disk.hardState, r.disk.snapshot, r.disk.log = hard, image, log }, nil)
		}
	}
}

// persist queues the durable update of one step, and sends the messages that depend on it after the sync.
func (g *ReplicaGroup) persist(r *Replica, p *group.DurableUpdate, after []wire.GroupMsg) {
	g.write(r, func() {
		if p.Snapshot != nil {
			r.disk.snapshot, r.disk.log = p.Snapshot, nil
		}
		if p.Hard != nil {
			r.disk.hardState = *p.Hard
		}
		if len(p.Entries) > 0 {
			base := int64(0)
			if r.disk.snapshot != nil {
				base = r.disk.snapshot.Index
			}
			r.disk.log = append(slices.Clone(r.disk.log[:p.Entries[0].Index-base-1]), p.Entries...)
		}
	}, func() {
		for _, m := range after {
			g.post(r, m)
		}
		if n := len(p.Entries); n > 0 {
			e := p.Entries[n-1]
			g.execute(r, r.machine.Synced(e.Index, e.Term, g.now))
		}
	})
}

// write queues one write; writes are synced in order after a random time.
func (g *ReplicaGroup) write(r *Replica, write, then func()) {
	generation := r.generation
	r.disk.unsynced = append(r.disk.unsynced, pendingWrite{write: write, then: func(error) {
		if then != nil {
			then()
		}
	}})
	g.After(g.syncTime(), func() { // whichever timer fires first, it syncs the first write
		if r.isUp && r.generation == generation {
			p := r.disk.unsynced[0]
			r.disk.unsynced = r.disk.unsynced[1:]
			p.write()
			p.then(nil)
		}
	})
}

// post sends a message of the group; a snapshot message gets the state of the sender.
func (g *ReplicaGroup) post(r *Replica, m wire.GroupMsg) {
	if m.Kind == group.MsgSnapshot {
		m.State = r.snapshot.State
	}
	g.Send(group.Name(m.From), group.Name(m.To), func() {
		for _, to := range g.Names { // delivered to the incarnation that runs under that name
			if t := g.Replicas[to]; group.Name(to) == group.Name(m.To) && t.isUp {
				g.execute(t, t.machine.Receive(m, g.now))
			}
		}
	})
}
