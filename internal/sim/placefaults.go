package sim

import (
	"fmt"
	"time"

	"caperwheel/internal/check"
)

// PlaceFaults are the ways a place, its adapters and its workers are hurt.
var PlaceFaults = map[string]func(p *Places){
	"nothing":       func(*Places) {},
	"killed stores": func(p *Places) { p.store().kill() },
	"frozen stores": func(p *Places) { p.store().freeze() },
	"no majority": func(p *Places) { // two of three are down for seconds, and the third goes on alone
		if i := p.Rand.IntN(3); p.isWhole() {
			p.stores[(i+1)%3].kill()
			p.stores[(i+2)%3].kill()
			p.away = p.now + time.Duration(1000+p.Rand.IntN(7000))*time.Millisecond
		}
	},
	"handed over": func(p *Places) {
		s := p.store()
		if s.isUp && p.now >= s.frozen {
			s.host.TransferOwnership(func(string) bool { return false })
			s.pump()
		}
	},
	"handed over unheard": func(p *Places) { // the old owner hears nothing of its successor
		for _, s := range p.stores {
			if s.isUp && p.now >= s.frozen && s.host.IsOwner() {
				for _, other := range p.stores {
					p.Cut(other.name, s.name)
				}
				s.host.TransferOwnership(func(string) bool { return false })
				s.pump()
				p.After(time.Duration(500+p.Rand.IntN(1000))*time.Millisecond, p.Heal)
				return
			}
		}
	},
	"taken for gone": func(p *Places) { // its links refuse, so the others take its process for ended
		gone := p.store()
		if !gone.isUp {
			return
		}
		for _, s := range p.stores {
			if s != gone && s.isUp {
				p.Cut(gone.name, s.name)
				p.Cut(s.name, gone.name)
				s.host.ReportStoreDown(gone.name)
				s.pump()
			}
		}
		p.After(time.Duration(500+p.Rand.IntN(3000))*time.Millisecond, p.Heal)
	},
	"power loss of all": func(p *Places) {
		for _, s := range p.stores {
			s.kill()
		}
	},
	"killed adapters": func(p *Places) { p.adapter().kill() },
	"frozen adapters": func(p *Places) { p.adapter().frozen = p.now + time.Duration(p.Rand.IntN(6000))*time.Millisecond },
	"failing workers": func(p *Places) { p.Unhealthy = 300; p.After(2*time.Second, func() { p.Unhealthy = 0 }) },
	"lost answers":    func(p *Places) { p.LoseAns = 300; p.After(2*time.Second, func() { p.LoseAns = 0 }) },
	"stalled workers": func(p *Places) { p.Stall = 300; p.After(3*time.Second, func() { p.Stall = 0 }) },
	"broken links":    func(p *Places) { p.Break = 300; p.After(3*time.Second, func() { p.Break = 0 }) },
	"full disks":      func(p *Places) { p.store().full = p.now + time.Duration(p.Rand.IntN(4000))*time.Millisecond },
	"lost cells": func(p *Places) {
		if i := p.Rand.IntN(3); p.now-p.hurtAt > 2*time.Second { // an adapter, its agent and its zone's store at once
			p.adapters[i].loseMachine()
			p.stores[i].kill()
		}
	},
	"quick restarts": func(p *Places) {
		a := p.adapter()
		a.kill()
		p.After(50*time.Millisecond, a.start)
	},
	"lost for good": func(p *Places) {
		if a := p.adapters[0]; !a.isGone { // one only: the others must serve
			a.isGone = true
			a.kill()
		}
	},
	// The newest configuration's bound is not the one that runs were begun with. Each is
	// over a tenth of the longest stall: a worker is not waited for any longer.
	"changed bounds": func(p *Places) {
		p.rules = rulesWith([]time.Duration{workBound / 2, workBound, 2 * workBound}[p.Rand.IntN(3)], p.retention)
	},
	"stuck messages": func(p *Places) { p.Stuck = 60; p.After(3*time.Second, func() { p.Stuck = 0 }) },
	"lost messages":  func(p *Places) { p.Loss = 150; p.After(3*time.Second, func() { p.Loss = 0 }) },
	"slow links": func(p *Places) {
		p.Slow = 300 * time.Millisecond
		p.After(3*time.Second, func() { p.Slow = 5 * time.Millisecond })
	},
	"adapters cut off": func(p *Places) { p.cutOff(p.adapter().name, true) },
	"one-way cuts":     func(p *Places) { p.cutOff(p.adapter().name, false) },
	"stores cut off":   func(p *Places) { p.cutOff(p.store().name, true) },
	"stores apart": func(p *Places) {
		name := p.store().name
		for _, other := range p.stores { // callers and adapters still reach it
			p.Cut(name, other.name)
			p.Cut(other.name, name)
		}
		p.After(time.Duration(500+p.Rand.IntN(6000))*time.Millisecond, p.Heal)
	},
}

func (p *Places) store() *simStore     { return p.stores[p.Rand.IntN(len(p.stores))] }
func (p *Places) adapter() *simAdapter { return p.adapters[p.Rand.IntN(len(p.adapters))] }

// isWhole: one zone can be lost at a time, and only from a place that has had an
// owner and sound links for a while; beyond that nobody may know of a result.
func (p *Places) isWhole() bool {
	isOwned, isUp := false, len(p.cuts)+p.Loss+p.Stuck == 0 && p.Slow < 10*time.Millisecond
	for _, s := range p.stores {
		isUp = isUp && s.isUp && p.now >= s.frozen
		isOwned = isOwned || isUp && s.host.IsOwner()
	}
	return isUp && isOwned
}

func (p *Places) cutOff(name string, isBothWays bool) {
	for _, other := range []string{"s1", "s2", "s3", "a1", "a2", "a3", "ctl", "caller"} {
		if other != name {
			p.Cut(name, other)
			if isBothWays {
				p.Cut(other, name)
			}
		}
	}
	p.After(time.Duration(500+p.Rand.IntN(6000))*time.Millisecond, p.Heal)
}

// RunPlaces hurts a place for a while and checks all that was recorded.
func RunPlaces(seed uint64, chosen ...func(*Places)) (*Places, []check.Breach) {
	return RunPlacesMutant(NoMutant, seed, chosen...)
}

// RunPlacesMutant does the same with a guard taken out.
func RunPlacesMutant(mutant Mutant, seed uint64, chosen ...func(*Places)) (*Places, []check.Breach) {
	p := NewPlaces(NewWorld(seed), 3, mutant)
	p.play(chosen)
	return p, p.Finish()
}

// play has callers call for a while under the chosen faults.
func (p *Places) play(chosen []func(*Places)) {
	for k := range 4 { // one caller a key: the next message follows the answer
		var next func()
		next = func() {
			if p.now < 40*time.Second {
				p.Call("seq", fmt.Sprint("k", k), func() { p.After(100*time.Millisecond, next) })
			}
		}
		p.After(2*time.Second, next)
	}
	for p.now < 40*time.Second {
		p.Run(p.now + 100*time.Millisecond)
		p.Call("free", "", func() {})
		if p.Rand.IntN(3) == 0 {
			p.CallAgain("free", 1+p.Rand.IntN(4))
		}
		for range 3 {
			p.look()
		}
		if !p.isWhole() {
			p.hurtAt = p.now
		}
		if p.Rand.IntN(20) == 0 {
			p.soon(func() { chosen[p.Rand.IntN(len(chosen))](p) })
		}
		if p.Rand.IntN(15) == 0 {
			if p.now >= p.away {
				p.store().start()
			}
			p.adapter().start()
		}
	}
}
