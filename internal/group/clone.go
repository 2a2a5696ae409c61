package group

import (
	"maps"
	"math/rand/v2"
	"slices"
)

// Clone returns an independent copy of a replica, for state-space searches that continue from one state in several
// ways. The random number generator of the copy starts again from the seed; apart from that the two are equal.
func (g *Group) Clone() *Group {
	c := *g
	c.rand = rand.New(rand.NewPCG(g.opts.Seed, uint64(g.opts.Id)))
	c.log = slices.Clone(g.log)
	c.rosters = slices.Clone(g.rosters)
	c.votes = maps.Clone(g.votes)
	c.rounds = slices.Clone(g.rounds)
	c.newIncarnations = maps.Clone(g.newIncarnations)
	if g.peers != nil {
		c.peers = make(map[string]*peerState, len(g.peers))
		for m, p := range g.peers {
			own := *p
			own.inFlight = slices.Clone(p.inFlight)
			c.peers[m] = &own
		}
	}
	return &c
}
