package sim

import (
	"fmt"
	"slices"
	"time"
)

// GroupFaults are the faults injected into a group, by name; a test runs each one by itself.
var GroupFaults = map[string]func(g *ReplicaGroup){
	"nothing": func(*ReplicaGroup) {},
	"kills":   func(g *ReplicaGroup) { g.Kill(g.pickMember()) },
	"cuts": func(g *ReplicaGroup) {
		a, b := g.pickMember(), g.pickMember()
		g.CutLink(a[:2], b[:2])
		g.After(2*time.Second, g.HealLinks)
	},
	"power loss of all": func(g *ReplicaGroup) {
		for _, id := range g.Names {
			g.Kill(id)
		}
	},
	"loss": func(g *ReplicaGroup) { g.LostMessages = 100 },
	"blank disk": func(g *ReplicaGroup) {
		for _, id := range g.Names { // one disk at a time: all other members must be able to vote
			r := g.Replicas[id]
			if !r.isUp || len(r.Applied) < len(g.longestApplied) || !slices.Equal(sortedCopy(r.machine.View().Roster), sortedCopy(g.Names)) {
				return
			}
		}
		g.ReplaceDisk(g.pickMember())
	},
}

func sortedCopy(list []string) []string { return slices.Sorted(slices.Values(list)) }

// pickMember returns a random replica.
func (g *ReplicaGroup) pickMember() string { return g.Names[g.Rand.IntN(len(g.Names))] }

// RunGroup injects faults into a group of three for a while and checks it throughout.
func RunGroup(seed uint64, faults ...func(*ReplicaGroup)) *ReplicaGroup {
	three := []string{"s1", "s2", "s3"}
	return runGroup(NewReplicaGroup(NewWorld(seed), three...), func() []string { return three }, faults)
}

// RunRosterChanges does the same with a group whose members move to three random stores of five every few seconds,
// including the owner.
func RunRosterChanges(seed uint64, faults ...func(*ReplicaGroup)) *ReplicaGroup {
	w, five := NewWorld(seed), []string{"s1", "s2", "s3", "s4", "s5"}
	wanted, until := five[:3], time.Duration(0)
	return runGroup(NewReplicaGroup(w, five...), func() []string {
		if w.Now() >= until {
			w.Rand.Shuffle(5, func(i, j int) { five[i], five[j] = five[j], five[i] })
			wanted, until = slices.Clone(five[:3]), w.Now()+time.Duration(1+w.Rand.IntN(6))*time.Second
		}
		return wanted
	}, faults)
}

func runGroup(g *ReplicaGroup, wanted func() []string, faults []func(*ReplicaGroup)) *ReplicaGroup {
	w, count := g.World, 0
	for w.Now() < 40*time.Second {
		w.Run(w.Now() + 100*time.Millisecond)
		for range 3 {
			count++
			g.Propose(fmt.Sprintf("c%d", count))
		}
		if w.Rand.IntN(20) == 0 {
			w.scheduleFault(func() { faults[w.Rand.IntN(len(faults))](g) })
		}
		if w.Rand.IntN(10) == 0 {
			w.scheduleFault(func() { g.Start(g.pickMember()) })
		}
		g.Repair(wanted()...)
		g.CheckReads()
	}
	g.Finish()
	return g
}
