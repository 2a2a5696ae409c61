package sim

import (
	"time"

	"caperwheel/internal/config"
	"caperwheel/internal/feed"
	"caperwheel/internal/wire"
)

// DeliveryFaults are the faults injected into the path of messages, by name.
var DeliveryFaults = map[string]func(d *Deliveries){
	"nothing":              func(*Deliveries) {},
	"killed stores":        func(d *Deliveries) { d.pickStore().kill(false) },
	"frozen stores":        func(d *Deliveries) { d.pickStore().freeze() },
	"power loss of stores": func(d *Deliveries) { forEach(d.stores, func(s *deliveryStore) { s.kill(true) }) },
	"full disks":           func(d *Deliveries) { d.pickStore().diskFullUntil = d.now + d.randomSeconds(3) },
	"handed over": func(d *Deliveries) {
		if s := d.pickStore(); s.isUp && d.now >= s.frozenUntil {
			for _, h := range s.hosts {
				h.TransferOwnership(func(string) bool { return false })
			}
			s.runPending()
		}
	},
	"killed adapters":  func(d *Deliveries) { d.pickAdapter().kill() },
	"stopped adapters": func(d *Deliveries) { d.pickAdapter().stop() },
	"moved adapters":   func(d *Deliveries) { d.pickAdapter().move() },
	"frozen adapters":  func(d *Deliveries) { d.pickAdapter().freeze() },
	"quick restarts": func(d *Deliveries) {
		a := d.pickAdapter()
		a.kill()
		d.After(40*time.Millisecond, a.start)
	},
	"lost for good": func(d *Deliveries) {
		if a := d.adapters[0]; !a.isRemoved {
			a.isRemoved = true
			a.kill()
		}
	},
	"holders lost for good": func(d *Deliveries) { // removes the holder of the endpoint, as long as two adapters remain
		if a := d.endpointHolder(); a != nil && d.countAdapters(func(a *deliveryAdapter) bool { return !a.isRemoved }) > 2 {
			a.isRemoved = true
			a.kill()
		}
	},
	"agents gone":    func(d *Deliveries) { d.pickAdapter().agent.end() },
	"frozen agents":  func(d *Deliveries) { d.pickAdapter().agent.freeze() },
	"frozen control": func(d *Deliveries) { d.control.frozenUntil = d.now + d.randomSeconds(4) },
	"frozen parts":   func(d *Deliveries) { d.parts.frozenUntil = d.now + d.randomSeconds(4) },
	"manager cut from the parts": func(d *Deliveries) { // sometimes for longer than a view stays fresh
		d.CutLink(controlName, partsName)
		if d.Rand.IntN(2) == 0 {
			d.CutLink(partsName, controlName)
		}
		d.After(d.randomSeconds(5), d.HealLinks)
	},
	"crashed workers": func(d *Deliveries) {
		if w := d.pickWorker(); w.isUp {
			w.crash()
			d.After(d.randomSeconds(3), func() { w.isListed = false })
			d.After(d.randomSeconds(4), func() { d.addWorker(w.zone) })
		}
	},
	"address taken": func(d *Deliveries) { // a new worker at the address of a crashed one
		if w := d.pickWorker(); w.isUp {
			w.crash()
			w.isListed = false
			d.addWorker(w.zone).address = w.address
		}
	},
	"leaving workers": func(d *Deliveries) {
		w := d.pickWorker()
		w.isLeaving = true
		d.addWorker(w.zone)
		d.After(4*time.Second, func() {
			if w.isUp {
				w.crash()
			}
			w.isListed = false
		})
	},
	"silent workers": func(d *Deliveries) { d.setFault(d.pickWorker(), (*deliveryWorker).setSilent) },
	"vanished workers": func(d *Deliveries) {
		d.setFault(d.pickWorker(), func(w *deliveryWorker, is bool) { w.isUnreachable = is })
	},
	"slow workers":    func(d *Deliveries) { d.setFault(d.pickWorker(), func(w *deliveryWorker, is bool) { w.isSlow = is }) },
	"full workers":    func(d *Deliveries) { d.setFault(d.pickWorker(), func(w *deliveryWorker, is bool) { w.isFull = is }) },
	"failing workers": func(d *Deliveries) { d.setFault(d.pickWorker(), func(w *deliveryWorker, is bool) { w.isFailing = is }) },
	"lost answers":    func(d *Deliveries) { d.setFault(d.pickWorker(), func(w *deliveryWorker, is bool) { w.isLossy = is }) },
	"all workers away": func(d *Deliveries) {
		for _, w := range d.workers {
			d.setFault(w, func(w *deliveryWorker, is bool) { w.isUnreachable = is })
		}
	},
	"changed bounds": func(d *Deliveries) {
		d.configure(func(c *deliveryDoc) {
			c.runTimeout = []time.Duration{500 * time.Millisecond, time.Second, 2 * time.Second}[d.Rand.IntN(3)]
		})
	},
	"changed pools": func(d *Deliveries) {
		d.configure(func(c *deliveryDoc) { c.concurrency, c.rate = 1+d.Rand.IntN(4), []float64{2, 20, 40}[d.Rand.IntN(3)] })
	},
	"changed attempts": func(d *Deliveries) { d.configure(func(c *deliveryDoc) { c.maxAttempts = 1 + d.Rand.IntN(5) }) },
	"lanes come and go": func(d *Deliveries) {
		d.configure(func(c *deliveryDoc) {
			name := extraLaneNames[d.Rand.IntN(len(extraLaneNames))]
			c.extraLanes[name] = !c.extraLanes[name]
		})
	},
	"emptied zones": func(d *Deliveries) {
		key := config.ZoneKey + zoneOf(d.Rand.IntN(3))
		d.parts.write(feed.ConfigPart, wire.Edit{Key: key, Value: config.DrainOrder{Only: config.OnlyWorkers}.Encode(), IfRevision: -1})
		d.After(d.randomSeconds(6), func() { d.restoreZone(key) })
	},
	"stuck messages": func(d *Deliveries) { d.StuckMessages = 40; d.After(2*time.Second, func() { d.StuckMessages = 0 }) },
	"lost messages":  func(d *Deliveries) { d.LostMessages = 100; d.After(2*time.Second, func() { d.LostMessages = 0 }) },
	"slow links": func(d *Deliveries) {
		d.MaxDelay = 200 * time.Millisecond
		d.After(2*time.Second, func() { d.MaxDelay = 5 * time.Millisecond })
	},
	"adapters cut off": func(d *Deliveries) { d.isolate(d.pickAdapter().addr, true) },
	"one-way cuts":     func(d *Deliveries) { d.isolate(d.pickAdapter().addr, false) },
	"stores cut off":   func(d *Deliveries) { d.isolate(d.pickStore().addr, true) },
	"adapters cut from stores": func(d *Deliveries) { // its session remains valid
		a, s := d.pickAdapter(), d.pickStore()
		d.CutLink(a.addr, s.addr)
		d.CutLink(s.addr, a.addr)
		d.After(d.randomSeconds(6), d.HealLinks)
	},
	"deaf receiver": func(d *Deliveries) {
		d.receiver.isUnresponsive = true
		d.After(d.randomSeconds(3), func() { d.receiver.isUnresponsive = false })
	},
}

func forEach[T any](list []T, work func(T)) {
	for _, one := range list {
		work(one)
	}
}

// endpointHolder returns the running adapter that holds the endpoint's duty in the manager's view; nil if there is
// none.
func (d *Deliveries) endpointHolder() *deliveryAdapter {
	held, _ := d.control.configs.Current().Duties["far"].Get(config.EndpointWorker)
	for _, a := range d.adapters {
		if a.isUp && a.name == held.Holder && a.daemon.Who.Boot == held.Boot {
			return a
		}
	}
	return nil
}

// countAdapters returns the number of adapters that satisfy a predicate.
func (d *Deliveries) countAdapters(isCounted func(*deliveryAdapter) bool) (n int) {
	for _, a := range d.adapters {
		if isCounted(a) {
			n++
		}
	}
	return n
}

func (d *Deliveries) pickStore() *deliveryStore     { return d.stores[d.Rand.IntN(len(d.stores))] }
func (d *Deliveries) pickAdapter() *deliveryAdapter { return d.adapters[d.Rand.IntN(len(d.adapters))] }

// randomSeconds returns a random time from 0.3 s to 0.3 s above the limit in seconds.
func (d *Deliveries) randomSeconds(limit int) time.Duration {
	return time.Duration(300+d.Rand.IntN(1000*limit)) * time.Millisecond
}

// pickWorker returns a random listed worker that is up; if there is none, it adds one.
func (d *Deliveries) pickWorker() *deliveryWorker {
	available := []*deliveryWorker{}
	for _, w := range d.workers {
		if w.isListed && w.isUp && !w.isLeaving && w.pool == "work" {
			available = append(available, w)
		}
	}
	if len(available) == 0 {
		return d.addWorker(zoneOf(d.Rand.IntN(3)))
	}
	return available[d.Rand.IntN(len(available))]
}

// setFault sets a fault of a worker for up to 4.3 s; in one case of four it hits the endpoint instead.
func (d *Deliveries) setFault(w *deliveryWorker, set func(w *deliveryWorker, isActive bool)) {
	if d.Rand.IntN(4) == 0 {
		w = d.workers[deliveryWorkers]
	}
	set(w, true)
	d.After(d.randomSeconds(4), func() { set(w, false) })
}

// configure changes the settings and writes the configuration.
func (d *Deliveries) configure(change func(*deliveryDoc)) {
	change(&d.control.settings)
	d.control.writeConfig()
}

// restoreZone removes the drain order of a zone, if there is one.
func (d *Deliveries) restoreZone(key string) {
	if _, isStanding := d.parts.parts[feed.ConfigPart].Get(key); isStanding {
		d.parts.write(feed.ConfigPart, wire.Edit{Key: key, Gone: true, IfRevision: -1})
	}
}

// isolate cuts the links from a daemon to all others for some seconds, and those to it if isBothWays.
func (d *Deliveries) isolate(name string, isBothWays bool) {
	others := []string{controlName, callerName}
	forEach(d.stores, func(s *deliveryStore) { others = append(others, s.addr) })
	forEach(d.adapters, func(a *deliveryAdapter) { others = append(others, a.addr, a.agent.addr) })
	for _, other := range others {
		if other != name {
			d.CutLink(name, other)
			if isBothWays {
				d.CutLink(other, name)
			}
		}
	}
	d.After(d.randomSeconds(6), d.HealLinks)
}

// heal ends all faults and starts all daemons that are down.
func (d *Deliveries) heal() {
	d.EndFaults()
	d.control.frozenUntil, d.parts.frozenUntil, d.receiver.isUnresponsive = 0, 0, false
	for i := range 3 {
		d.restoreZone(config.ZoneKey + zoneOf(i))
	}
	for _, s := range d.stores {
		s.frozenUntil, s.diskFullUntil = 0, 0
		s.start()
	}
	for _, a := range d.adapters {
		a.frozenUntil, a.agent.frozenUntil = 0, 0
		a.start()
	}
	for _, w := range d.workers {
		w.endSilence()
		w.isUnreachable, w.isSlow, w.isFull, w.isFailing, w.isLossy = false, false, false, false, false
	}
	d.configure(func(c *deliveryDoc) { c.rate, c.runTimeout, c.concurrency = 40, time.Second, 2 })
}
