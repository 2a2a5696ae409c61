package sim

import (
	"fmt"
	"time"

	"caperwheel/internal/check"
)

// PlaceFaults are the faults of a place, its adapters and its workers, by name.
var PlaceFaults = map[string]func(p *PlaceCluster){
	"nothing":       func(*PlaceCluster) {},
	"killed stores": func(p *PlaceCluster) { p.randomStore().kill() },
	"frozen stores": func(p *PlaceCluster) { p.randomStore().freeze() },
	"no majority": func(p *PlaceCluster) { // two of three stores are down for seconds; the third keeps running
		if i := p.Rand.IntN(3); p.isHealthy() {
			p.stores[(i+1)%3].kill()
			p.stores[(i+2)%3].kill()
			p.storesDownUntil = p.now + time.Duration(1000+p.Rand.IntN(7000))*time.Millisecond
		}
	},
	"handed over": func(p *PlaceCluster) {
		s := p.randomStore()
		if s.isUp && p.now >= s.frozenUntil {
			s.host.TransferOwnership(func(string) bool { return false })
			s.runPending()
		}
	},
	"handed over unheard": func(p *PlaceCluster) { // the old owner receives no messages from its successor
		for _, s := range p.stores {
			if s.isUp && p.now >= s.frozenUntil && s.host.IsOwner() {
				for _, other := range p.stores {
					p.CutLink(other.name, s.name)
				}
				s.host.TransferOwnership(func(string) bool { return false })
				s.runPending()
				p.After(time.Duration(500+p.Rand.IntN(1000))*time.Millisecond, p.HealLinks)
				return
			}
		}
	},
	"taken for gone": func(p *PlaceCluster) { // its connections are refused: the others consider it stopped
		isolated := p.randomStore()
		if !isolated.isUp {
			return
		}
		for _, s := range p.stores {
			if s != isolated && s.isUp {
				p.CutLink(isolated.name, s.name)
				p.CutLink(s.name, isolated.name)
				s.host.ReportStoreDown(isolated.name)
				s.runPending()
			}
		}
		p.After(time.Duration(500+p.Rand.IntN(3000))*time.Millisecond, p.HealLinks)
	},
	"power loss of all": func(p *PlaceCluster) {
		for _, s := range p.stores {
			s.kill()
		}
	},
	"killed adapters": func(p *PlaceCluster) { p.randomAdapter().kill() },
	"frozen adapters": func(p *PlaceCluster) {
		p.randomAdapter().frozenUntil = p.now + time.Duration(p.Rand.IntN(6000))*time.Millisecond
	},
	"failing workers": func(p *PlaceCluster) { p.FailedRuns = 300; p.After(2*time.Second, func() { p.FailedRuns = 0 }) },
	"lost answers":    func(p *PlaceCluster) { p.LostReplies = 300; p.After(2*time.Second, func() { p.LostReplies = 0 }) },
	"stalled workers": func(p *PlaceCluster) { p.StalledRuns = 300; p.After(3*time.Second, func() { p.StalledRuns = 0 }) },
	"broken links": func(p *PlaceCluster) {
		p.BrokenConnections = 300
		p.After(3*time.Second, func() { p.BrokenConnections = 0 })
	},
	"full disks": func(p *PlaceCluster) {
		p.randomStore().diskFullUntil = p.now + time.Duration(p.Rand.IntN(4000))*time.Millisecond
	},
	"lost cells": func(p *PlaceCluster) {
		if i := p.Rand.IntN(3); p.now-p.degradedAt > 2*time.Second { // adapter, agent and store of one zone
			p.adapters[i].loseMachine()
			p.stores[i].kill()
		}
	},
	"quick restarts": func(p *PlaceCluster) {
		a := p.randomAdapter()
		a.kill()
		p.After(50*time.Millisecond, a.start)
	},
	"lost for good": func(p *PlaceCluster) {
		if a := p.adapters[0]; !a.isRemoved { // at most one adapter, so that the others can still serve
			a.isRemoved = true
			a.kill()
		}
	},
	// The newest configuration's time-out differs from the one with which runs were started. Each is over a
	// tenth of the longest stall, since a worker is not waited for any longer than that.
	"changed bounds": func(p *PlaceCluster) {
		p.rules = p.compile([]time.Duration{defaultRunTimeout / 2, defaultRunTimeout, 2 * defaultRunTimeout}[p.Rand.IntN(3)])
	},
	"stuck messages": func(p *PlaceCluster) { p.StuckMessages = 60; p.After(3*time.Second, func() { p.StuckMessages = 0 }) },
	"lost messages":  func(p *PlaceCluster) { p.LostMessages = 150; p.After(3*time.Second, func() { p.LostMessages = 0 }) },
	"slow links": func(p *PlaceCluster) {
		p.MaxDelay = 300 * time.Millisecond
		p.After(3*time.Second, func() { p.MaxDelay = 5 * time.Millisecond })
	},
	"adapters cut off": func(p *PlaceCluster) { p.isolate(p.randomAdapter().name, true) },
	"one-way cuts":     func(p *PlaceCluster) { p.isolate(p.randomAdapter().name, false) },
	"stores cut off":   func(p *PlaceCluster) { p.isolate(p.randomStore().name, true) },
	"stores apart": func(p *PlaceCluster) {
		name := p.randomStore().name
		for _, other := range p.stores { // callers and adapters still reach the store
			p.CutLink(name, other.name)
			p.CutLink(other.name, name)
		}
		p.After(time.Duration(500+p.Rand.IntN(6000))*time.Millisecond, p.HealLinks)
	},
}

func (p *PlaceCluster) randomStore() *simStore     { return p.stores[p.Rand.IntN(len(p.stores))] }
func (p *PlaceCluster) randomAdapter() *simAdapter { return p.adapters[p.Rand.IntN(len(p.adapters))] }

// isHealthy reports whether all stores are up, the links are good and the place has an owner. A place
// tolerates the loss of one zone at a time, and only if it has been healthy for a while; beyond that no
// surviving daemon may have a run's result.
func (p *PlaceCluster) isHealthy() bool {
	isOwned, isUp := false, len(p.cuts)+p.LostMessages+p.StuckMessages == 0 && p.MaxDelay < 10*time.Millisecond
	for _, s := range p.stores {
		isUp = isUp && s.isUp && p.now >= s.frozenUntil
		isOwned = isOwned || isUp && s.host.IsOwner()
	}
	return isUp && isOwned
}

// isolate drops all messages from a daemon, and with isBothWays also those to it, for 0.5 s to 6.5 s.
func (p *PlaceCluster) isolate(name string, isBothWays bool) {
	for _, other := range []string{"s1", "s2", "s3", "a1", "a2", "a3", "ctl", "caller"} {
		if other != name {
			p.CutLink(name, other)
			if isBothWays {
				p.CutLink(other, name)
			}
		}
	}
	p.After(time.Duration(500+p.Rand.IntN(6000))*time.Millisecond, p.HealLinks)
}

// RunPlaceCluster runs a place under faults and checks the recorded history.
func RunPlaceCluster(seed uint64, faults ...func(*PlaceCluster)) (*PlaceCluster, []check.Breach) {
	return RunPlaceClusterMutant(NoMutant, seed, faults...)
}

// RunPlaceClusterMutant is RunPlaceCluster with one safeguard removed.
func RunPlaceClusterMutant(mutant Mutant, seed uint64, faults ...func(*PlaceCluster)) (*PlaceCluster, []check.Breach) {
	p := NewPlaceCluster(NewWorld(seed), 3, mutant)
	p.runTraffic(faults)
	return p, p.Finish()
}

// runTraffic simulates callers for 40 s and injects the given faults meanwhile.
func (p *PlaceCluster) runTraffic(faults []func(*PlaceCluster)) {
	for k := range 4 { // one caller for each ordering key: it sends its next message after the reply
		var next func()
		next = func() {
			if p.now < 40*time.Second {
				p.SendMessage("seq", fmt.Sprint("k", k), func() { p.After(100*time.Millisecond, next) })
			}
		}
		p.After(2*time.Second, next)
	}
	for p.now < 40*time.Second {
		p.Run(p.now + 100*time.Millisecond)
		p.SendMessage("free", "", func() {})
		if p.Rand.IntN(3) == 0 {
			p.SendRepeatedly("free", 1+p.Rand.IntN(4))
		}
		for range 3 {
			p.queryMessage()
		}
		if !p.isHealthy() {
			p.degradedAt = p.now
		}
		if p.Rand.IntN(20) == 0 {
			p.scheduleFault(func() { faults[p.Rand.IntN(len(faults))](p) })
		}
		if p.Rand.IntN(15) == 0 {
			if p.now >= p.storesDownUntil {
				p.randomStore().start()
			}
			p.randomAdapter().start()
		}
	}
}
