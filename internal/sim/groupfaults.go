package sim

import (
	"fmt"
	"slices"
	"time"
)

// GroupFaults are the ways a group is hurt; each gets a seeded run of its own.
var GroupFaults = map[string]func(g *Groups){
	"nothing": func(*Groups) {},
	"kills":   func(g *Groups) { g.Kill(g.pick()) },
	"cuts": func(g *Groups) {
		a, b := g.pick(), g.pick()
		g.Cut(a[:2], b[:2])
		g.After(2*time.Second, g.Heal)
	},
	"power loss of all": func(g *Groups) {
		for _, id := range g.Names {
			g.Kill(id)
		}
	},
	"loss": func(g *Groups) { g.Loss = 100 },
	"blank disk": func(g *Groups) {
		for _, id := range g.Names { // one disk at a time: all others must vote
			r := g.Replicas[id]
			if !r.isUp || len(r.Applied) < len(g.newest) || !slices.Equal(sorted(r.machine.View().Roster), sorted(g.Names)) {
				return
			}
		}
		g.Blank(g.pick())
	},
}

func sorted(list []string) []string { return slices.Sorted(slices.Values(list)) }

func (g *Groups) pick() string { return g.Names[g.Rand.IntN(len(g.Names))] }

// RunGroup hurts a group of three for a while and checks it throughout.
func RunGroup(seed uint64, hurts ...func(*Groups)) *Groups {
	three := []string{"s1", "s2", "s3"}
	return runGroup(NewGroups(NewWorld(seed), three...), func() []string { return three }, hurts)
}

// RunMoves does the same to a group whose seats go to other three of five
// stores again and again, its owner's seat too.
func RunMoves(seed uint64, hurts ...func(*Groups)) *Groups {
	w, five := NewWorld(seed), []string{"s1", "s2", "s3", "s4", "s5"}
	wanted, until := five[:3], time.Duration(0)
	return runGroup(NewGroups(w, five...), func() []string {
		if w.Now() >= until {
			w.Rand.Shuffle(5, func(i, j int) { five[i], five[j] = five[j], five[i] })
			wanted, until = slices.Clone(five[:3]), w.Now()+time.Duration(1+w.Rand.IntN(6))*time.Second
		}
		return wanted
	}, hurts)
}

func runGroup(g *Groups, wanted func() []string, hurts []func(*Groups)) *Groups {
	w, count := g.World, 0
	for w.Now() < 40*time.Second {
		w.Run(w.Now() + 100*time.Millisecond)
		for range 3 {
			count++
			g.Propose(fmt.Sprintf("c%d", count))
		}
		if w.Rand.IntN(20) == 0 {
			w.soon(func() { hurts[w.Rand.IntN(len(hurts))](g) })
		}
		if w.Rand.IntN(10) == 0 {
			w.soon(func() { g.Start(g.pick()) })
		}
		g.Repair(wanted()...)
		g.CheckReads()
	}
	g.Finish()
	return g
}
