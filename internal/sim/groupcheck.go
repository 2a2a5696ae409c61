package sim

import (
	"slices"
	"time"

	"caperwheel/internal/group"
	"caperwheel/internal/wire"
)

// apply applies committed entries at a replica, and records the commands whose proposer thereby sees their commit.
func (g *ReplicaGroup) apply(r *Replica, entries []wire.Entry) {
	for _, e := range entries {
		if e.Kind == group.EntryData {
			command := string(e.Data)
			r.Applied = append(r.Applied, command)
			if proposal, isOurs := g.pending[command]; isOurs && proposal.by == r.Id && proposal.index == e.Index && proposal.term == e.Term {
				g.Acked[command], g.ackedAt[command] = true, g.now
				delete(g.pending, command)
			}
		}
	}
	if len(entries) > 0 {
		g.checkPrefix(r)
	}
}

// checkPrefix checks that all replicas apply the same commands in the same order.
func (g *ReplicaGroup) checkPrefix(r *Replica) {
	shared := min(len(r.Applied), len(g.longestApplied))
	if !slices.Equal(r.Applied[:shared], g.longestApplied[:shared]) {
		g.recordBreach("%s applied the commands in another order", r.Id)
	}
	if len(r.Applied) > len(g.longestApplied) {
		g.longestApplied = slices.Clone(r.Applied)
	}
}

// Propose proposes a command at the first replica that regards itself as the owner, and reports whether it was
// accepted.
func (g *ReplicaGroup) Propose(command string) bool {
	for _, id := range g.Names {
		r := g.Replicas[id]
		if !r.isUp || r.machine.View().Role != group.Owner {
			continue
		}
		index, term, out, isOwner := r.machine.Propose([]byte(command), g.now)
		if isOwner {
			g.pending[command] = pendingCommand{index, term, id}
			g.execute(r, out)
			return true
		}
	}
	return false
}

// CheckReads checks every owner whose view is confirmed as of some moment: its state must include all commands
// acknowledged before that.
func (g *ReplicaGroup) CheckReads() {
	for _, id := range g.Names {
		r := g.Replicas[id]
		if !r.isUp {
			continue
		}
		v := r.machine.View()
		if !v.IsConfirmed {
			continue
		}
		for command, at := range g.ackedAt {
			if at < v.ConfirmedAt && !slices.Contains(r.Applied, command) {
				g.recordBreach("%s is confirmed as of %v but lacks %s, acknowledged at %v", id, v.ConfirmedAt, command, at)
			}
		}
	}
}

// Repair does the work of the repair tick of a store: each owner changes its roster towards the wanted stores.
func (g *ReplicaGroup) Repair(wanted ...string) {
	known := map[string]string{}
	for _, id := range g.Names {
		if g.Replicas[id].isUp {
			known[group.Name(id)] = id
		}
	}
	for _, id := range g.Names {
		r := g.Replicas[id]
		if !r.isUp {
			continue
		}
		if change, isDue := r.machine.Repair(known, wanted); isDue {
			if out, err := r.machine.ChangeRoster(change, g.now); err == nil {
				g.Tracef("%s repairs the roster: %+v", id, change)
				g.execute(r, out)
			}
		}
	}
}

// Finish heals all faults and checks that nothing acknowledged is lost and that all replicas agree.
func (g *ReplicaGroup) Finish() {
	g.EndFaults()
	for _, id := range g.Names {
		g.Start(id)
	}
	for range 40 {
		g.Run(g.now + 500*time.Millisecond)
		names := []string{}
		for _, id := range g.Names {
			names = append(names, group.Name(id))
		}
		g.Repair(names...)
	}
	isTaken := false
	for try := range 20 {
		g.Run(g.now + time.Second)
		if isTaken = g.Propose("last" + string(rune('a'+try))); isTaken {
			break
		}
	}
	g.Run(g.now + 3*time.Second)
	if !isTaken {
		g.recordBreach("no owner accepted a command after all faults were healed")
	}
	g.CheckReads()
	for _, id := range g.Names {
		r := g.Replicas[id]
		if len(r.Applied) != len(g.longestApplied) {
			g.recordBreach("%s applied %d of %d commands", id, len(r.Applied), len(g.longestApplied))
		}
		for command := range g.Acked {
			if !slices.Contains(r.Applied, command) {
				g.recordBreach("%s lost the acknowledged command %s", id, command)
			}
		}
	}
}
