package sim

import (
	"fmt"
	"time"

	"caperwheel/internal/config"
	"caperwheel/internal/feed"
	"caperwheel/internal/timing"
	"caperwheel/internal/wire"
)

const controlConfig = `{"note":"%d","pools":{"p":{"kind":"endpoint","address":"127.0.0.1:9","rate":10,"concurrency":9,"ease":"0s"}},"lanes":{"l":{"pools":["p"]}}}`

// checkViewAge holds the act of a fresh adapter against the configurations that were
// acknowledged: one older than the bound must be known to it.
func (c *Control) checkViewAge(n *node) {
	revision := n.view.Revision(feed.ConfigPart)
	for _, e := range c.acked {
		if c.now-e.at > timing.Default.ConfigApply && revision < e.revision {
			text := fmt.Sprintf("%s acts on stamp %d, though %d was acknowledged %v ago", n.boot(), revision, e.revision, c.now-e.at)
			c.Tracef("BROKEN %s", text)
			c.Breaches = append(c.Breaches, text)
			return
		}
	}
}

// changeConfig edits the configuration through each manager at once, on the base that the
// manager knows.
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
					c.Breaches = append(c.Breaches, fmt.Sprintf("edits %d and %d on one base %d were both acknowledged", other.revision, revision, base))
				}
			}
			c.acked = append(c.acked, ackedEdit{revision, c.now, base})
			c.Tracef("edit %d on %d is acknowledged", revision, base)
		})
	}
}

// drainZone gives a zone no new work, for a while, as an operator would.
func (c *Control) drainZone(zone string) {
	if len(c.drained) > 0 || !c.managers[0].isUp {
		return // one room at a time
	}
	mark := wire.Edit{Key: config.ZoneKey + zone, Value: []byte("{}"), IfRevision: -1}
	c.managers[0].sendEdit(mark, func(int64) {
		c.Tracef("cell %s is emptied", zone)
		c.drained[zone] = c.now
		c.After(12*time.Second, func() {
			delete(c.drained, zone)
			mark.Gone = true
			c.Tracef("cell %s is restored", zone)
			c.restoreZone(mark)
		})
	})
}

// drainHolderZone empties the zone of whoever serves the endpoint, while that one
// hears nothing: it goes on until its view is too old, and only the fence keeps
// the next holder from serving besides.
func (c *Control) drainHolderZone() {
	for i, a := range c.adapters {
		if a.isUp && a.worker != nil {
			agent := c.agents[i].name
			c.CutLink(agent, a.name)
			c.Tracef("%s holds the endpoint and hears nothing", a.name)
			c.After(6*time.Second, c.HealLinks)
			c.drainZone(a.zone())
			return
		}
	}
}

// restoreZone tries until the restoring holds, so that no run ends emptied.
func (c *Control) restoreZone(mark wire.Edit) {
	isDone := false
	c.managers[0].sendEdit(mark, func(int64) { isDone = true })
	c.After(2*time.Second, func() {
		if !isDone {
			c.restoreZone(mark)
		}
	})
}

// checkDrained: an emptied zone's adapter starts nothing after 5 s.
func (c *Control) checkDrained(n *node) {
	if at, isEmptied := c.drained[n.zone()]; isEmptied && c.now-at > 5*time.Second {
		c.Breaches = append(c.Breaches, fmt.Sprintf("%s starts a run %v after its cell was emptied", n.name, c.now-at))
	}
}

func (c *Control) pickNode() *node {
	all := append(append(append([]*node{}, c.managers...), c.agents...), c.adapters...)
	return all[c.Rand.IntN(len(all))]
}

func (c *Control) isolate(name string) {
	for _, other := range []string{"s1", "s2", "s3", "m1", "m2", "g1", "g2", "g3", "a1", "a2", "a3"} {
		if other != name && c.Rand.IntN(2) == 0 {
			c.CutLink(name, other)
			if c.Rand.IntN(2) == 0 {
				c.CutLink(other, name)
			}
		}
	}
	c.Tracef("%s is cut off from some", name)
	c.After(time.Duration(500+c.Rand.IntN(8000))*time.Millisecond, c.HealLinks)
}

// ControlFaults are the ways the control plane is hurt.
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

// RunControl hurts a control plane for a while and checks it throughout.
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

// finish heals everything: the endpoint must be served again, at its rate, and
// the newest acknowledged configuration must stand everywhere.
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
			c.Breaches = append(c.Breaches, fmt.Sprintf("the endpoint got %d runs in the 5 s before %v", within, at))
			break
		}
	}
	if served < int(5*c.rate*0.7) {
		c.Breaches = append(c.Breaches, fmt.Sprintf("the endpoint got only %d runs in 5 s after all was healed", served))
	}
	newest := int64(0)
	for _, e := range c.acked {
		newest = max(newest, e.revision)
	}
	for _, n := range c.adapters {
		if was, _ := n.view.Get(feed.ConfigPart, config.DocumentKey); was.Revision < newest {
			c.Breaches = append(c.Breaches, fmt.Sprintf("%s ends with configuration %d, acknowledged was %d", n.name, was.Revision, newest))
		}
	}
}
