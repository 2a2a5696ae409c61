package sim

import (
	"fmt"
	"time"

	"caperwheel/internal/config"
	"caperwheel/internal/feed"
	"caperwheel/internal/timing"
	"caperwheel/internal/wire"
)

// controlConfig is the configuration that the simulated edits write; the note tells them apart.
const controlConfig = `{"note":"%d","pools":{"p":{"kind":"endpoint","address":"127.0.0.1:9","rate":10,"concurrency":9,"ease":"0s"}},"lanes":{"l":{"pools":["p"]}}}`

// checkViewAge checks an adapter that acts on a fresh view: the view must include every configuration that was
// acknowledged longer ago than the ConfigApply bound.
func (c *Control) checkViewAge(n *node) {
	revision := n.view.Revision(feed.ConfigPart)
	for _, e := range c.acked {
		if c.now-e.at > timing.Default.ConfigApply && revision < e.revision {
			text := fmt.Sprintf("%s acts on configuration revision %d, although %d was acknowledged %v ago", n.boot(), revision, e.revision, c.now-e.at)
			c.Tracef("BROKEN %s", text)
			c.Breaches = append(c.Breaches, text)
			return
		}
	}
}

// changeConfig edits the configuration through every manager at the same time, each on the base in that manager's
// view. At most one edit on a base may be acknowledged.
func (c *Control) changeConfig() {
	for _, m := range c.managers {
		if !m.isUp || c.now < m.frozenUntil {
			continue
		}
		was, isKnown := m.view.Get(feed.ConfigPart, config.DocumentKey)
		base := int64(0)
		if isKnown {
			base = was.Revision
		}
		c.editCount++
		e := wire.Edit{Key: config.DocumentKey, IfRevision: base, Value: fmt.Appendf(nil, controlConfig, c.editCount)}
		m.sendEdit(e, func(revision int64) {
			for _, other := range c.acked {
				if other.base == base && other.revision != revision {
					c.Breaches = append(c.Breaches, fmt.Sprintf("edits at revisions %d and %d were both acknowledged on base %d", other.revision, revision, base))
				}
			}
			c.acked = append(c.acked, ackedEdit{revision, c.now, base})
			c.Tracef("edit at revision %d on base %d was acknowledged", revision, base)
		})
	}
}

// drainZone drains a zone for 12 s, as an operator would: it gets no new work. One zone is drained at a time.
func (c *Control) drainZone(zone string) {
	if len(c.drained) > 0 || !c.managers[0].isUp {
		return // one zone at a time
	}
	mark := wire.Edit{Key: config.ZoneKey + zone, Value: []byte("{}"), IfRevision: -1}
	c.managers[0].sendEdit(mark, func(int64) {
		c.Tracef("zone %s is drained", zone)
		c.drained[zone] = c.now
		c.After(12*time.Second, func() {
			delete(c.drained, zone)
			mark.Gone = true
			c.Tracef("zone %s is being restored", zone)
			c.restoreZone(mark)
		})
	})
}

// drainHolderZone drains the zone of the adapter that holds the endpoint's duty while that adapter is cut off from
// its agent. The adapter goes on until its view is too old, and only the fence keeps the next holder from serving
// at the same time.
func (c *Control) drainHolderZone() {
	for i, a := range c.adapters {
		if a.isUp && a.worker != nil {
			agent := c.agents[i].name
			c.CutLink(agent, a.name)
			c.Tracef("%s holds the endpoint and is cut off from its agent", a.name)
			c.After(6*time.Second, c.HealLinks)
			c.drainZone(a.zone())
			return
		}
	}
}

// restoreZone retries until the drain is undone, so that no simulation ends with a drained zone.
func (c *Control) restoreZone(mark wire.Edit) {
	isDone := false
	c.managers[0].sendEdit(mark, func(int64) { isDone = true })
	c.After(2*time.Second, func() {
		if !isDone {
			c.restoreZone(mark)
		}
	})
}

// checkDrained checks that an adapter in a drained zone starts no run later than 5 s after the acknowledgement.
func (c *Control) checkDrained(n *node) {
	if at, isDrained := c.drained[n.zone()]; isDrained && c.now-at > 5*time.Second {
		c.Breaches = append(c.Breaches, fmt.Sprintf("%s started a run %v after the drain of its zone was acknowledged", n.name, c.now-at))
	}
}

// pickNode returns a random manager, agent or adapter.
func (c *Control) pickNode() *node {
	all := append(append(append([]*node{}, c.managers...), c.agents...), c.adapters...)
	return all[c.Rand.IntN(len(all))]
}

// isolate cuts the links between a daemon and a random half of the others for some seconds, some in one direction
// only.
func (c *Control) isolate(name string) {
	for _, other := range []string{"s1", "s2", "s3", "m1", "m2", "g1", "g2", "g3", "a1", "a2", "a3"} {
		if other != name && c.Rand.IntN(2) == 0 {
			c.CutLink(name, other)
			if c.Rand.IntN(2) == 0 {
				c.CutLink(other, name)
			}
		}
	}
	c.Tracef("%s is cut off from some daemons", name)
	c.After(time.Duration(500+c.Rand.IntN(8000))*time.Millisecond, c.HealLinks)
}

// ControlFaults are the faults injected into a control plane, by name.
var ControlFaults = map[string]func(c *Control){
	"nothing":      func(*Control) {},
	"killed nodes": func(c *Control) { c.pickNode().kill() },
	"frozen nodes": func(c *Control) {
		n := c.pickNode()
		n.frozenUntil = c.now + time.Duration(c.Rand.IntN(7000))*time.Millisecond
		c.Tracef("freeze %s until %v", n.name, n.frozenUntil)
	},
	"cut nodes":            func(c *Control) { c.isolate(c.pickNode().name) },
	"killed stores":        func(c *Control) { c.stores[c.Rand.IntN(3)].kill() },
	"frozen stores":        func(c *Control) { c.stores[c.Rand.IntN(3)].freeze() },
	"cut stores":           func(c *Control) { c.isolate(c.stores[c.Rand.IntN(3)].name) },
	"emptied cells":        func(c *Control) { c.drainZone(fmt.Sprint(1 + c.Rand.IntN(3))) },
	"emptied behind a cut": func(c *Control) { c.drainHolderZone() },
	"stuck messages":       func(c *Control) { c.StuckMessages = 60; c.After(4*time.Second, func() { c.StuckMessages = 0 }) },
	"lost messages":        func(c *Control) { c.LostMessages = 200; c.After(4*time.Second, func() { c.LostMessages = 0 }) },
	"slow links": func(c *Control) {
		c.MaxDelay = 600 * time.Millisecond
		c.After(4*time.Second, func() { c.MaxDelay = 5 * time.Millisecond })
	},
}

// RunControl injects faults into a control plane for 60 s and checks it throughout.
func RunControl(seed uint64, faults ...func(*Control)) *Control {
	c := NewControl(NewWorld(seed))
	for c.now < 60*time.Second {
		c.Run(c.now + 100*time.Millisecond)
		if c.Rand.IntN(15) == 0 || c.now < 2*time.Second {
			c.changeConfig()
		}
		if c.Rand.IntN(25) == 0 {
			c.scheduleFault(func() { faults[c.Rand.IntN(len(faults))](c) })
		}
		if c.Rand.IntN(15) == 0 {
			c.stores[c.Rand.IntN(3)].start()
			c.pickNode().start()
		}
	}
	c.finish()
	return c
}

// finish heals all faults and then checks that the endpoint is served again, within its rate, and that every
// adapter has the newest acknowledged configuration.
func (c *Control) finish() {
	c.EndFaults()
	for _, s := range c.stores {
		s.frozenUntil = 0
		s.start()
	}
	for _, n := range append(append(append([]*node{}, c.managers...), c.agents...), c.adapters...) {
		n.frozenUntil = 0
		n.start()
	}
	c.Run(c.now + 15*time.Second)
	from := c.now
	c.Run(c.now + 5*time.Second)
	served := 0
	for i, at := range c.Starts {
		if at >= from {
			served++
		}
		within := 0
		for _, other := range c.Starts[:i+1] {
			if other > at-5*time.Second {
				within++
			}
		}
		if within > int(5*c.rate*1.1)+2 {
			c.Breaches = append(c.Breaches, fmt.Sprintf("the endpoint got %d runs in the 5 s before %v, over its rate", within, at))
			break
		}
	}
	if served < int(5*c.rate*0.7) {
		c.Breaches = append(c.Breaches, fmt.Sprintf("the endpoint got only %d runs in 5 s after all faults were healed", served))
	}
	newest := int64(0)
	for _, e := range c.acked {
		newest = max(newest, e.revision)
	}
	for _, n := range c.adapters {
		if was, _ := n.view.Get(feed.ConfigPart, config.DocumentKey); was.Revision < newest {
			c.Breaches = append(c.Breaches, fmt.Sprintf("%s ended with configuration revision %d, the newest acknowledged is %d", n.name, was.Revision, newest))
		}
	}
}
