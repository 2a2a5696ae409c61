package sim

import (
	"time"

	"caperwheel/internal/config"
	"caperwheel/internal/feed"
	"caperwheel/internal/wire"
)

// DeliveryFaults are the ways that a message's way is hurt.
var DeliveryFaults = map[string]func(d *Deliveries){
	"nothing":              func(*Deliveries) {},
	"killed stores":        func(d *Deliveries) { d.store().kill(false) },
	"frozen stores":        func(d *Deliveries) { d.store().freeze() },
	"power loss of stores": func(d *Deliveries) { each(d.stores, func(s *deliveryStore) { s.kill(true) }) },
	"full disks":           func(d *Deliveries) { d.store().full = d.now + d.seconds(3) },
	"handed over": func(d *Deliveries) {
		if s := d.store(); s.isUp && d.now >= s.frozen {
			for _, h := range s.hosts {
				h.TransferOwnership(func(string) bool { return false })
			}
			s.pump()
		}
	},
	"killed adapters":  func(d *Deliveries) { d.adapter().kill() },
	"stopped adapters": func(d *Deliveries) { d.adapter().stop() },
	"moved adapters":   func(d *Deliveries) { d.adapter().move() },
	"frozen adapters":  func(d *Deliveries) { d.adapter().freeze() },
	"quick restarts": func(d *Deliveries) {
		a := d.adapter()
		a.kill()
		d.After(40*time.Millisecond, a.start)
	},
	"lost for good": func(d *Deliveries) {
		if a := d.adapters[0]; !a.isGone {
			a.isGone = true
			a.kill()
		}
	},
	"holders lost for good": func(d *Deliveries) { // whoever serves the endpoint, while two are left
		if a := d.holderOf(); a != nil && d.count(func(a *deliveryAdapter) bool { return !a.isGone }) > 2 {
			a.isGone = true
			a.kill()
		}
	},
	"agents gone":    func(d *Deliveries) { d.adapter().agent.end() },
	"frozen agents":  func(d *Deliveries) { d.adapter().agent.freeze() },
	"frozen control": func(d *Deliveries) { d.control.frozen = d.now + d.seconds(4) },
	"frozen parts":   func(d *Deliveries) { d.parts.frozen = d.now + d.seconds(4) },
	"manager cut from the parts": func(d *Deliveries) { // for longer than a view stays fresh, now and then
		d.Cut(ctlName, partsName)
		if d.Rand.IntN(2) == 0 {
			d.Cut(partsName, ctlName)
		}
		d.After(d.seconds(5), d.Heal)
	},
	"crashed workers": func(d *Deliveries) {
		if w := d.worker(); w.isUp {
			w.crash()
			d.After(d.seconds(3), func() { w.isListed = false })
			d.After(d.seconds(4), func() { d.addWorker(w.zone) })
		}
	},
	"address taken": func(d *Deliveries) { // another life at the place of one that has gone
		if w := d.worker(); w.isUp {
			w.crash()
			w.isListed = false
			d.addWorker(w.zone).address = w.address
		}
	},
	"leaving workers": func(d *Deliveries) {
		w := d.worker()
		w.isLeaving = true
		d.addWorker(w.zone)
		d.After(4*time.Second, func() {
			if w.isUp {
				w.crash()
			}
			w.isListed = false
		})
	},
	"silent workers": func(d *Deliveries) { d.hurt(d.worker(), (*deliveryWorker).silence) },
	"vanished workers": func(d *Deliveries) {
		d.hurt(d.worker(), func(w *deliveryWorker, is bool) { w.isAway = is })
	},
	"slow workers":    func(d *Deliveries) { d.hurt(d.worker(), func(w *deliveryWorker, is bool) { w.isSlow = is }) },
	"full workers":    func(d *Deliveries) { d.hurt(d.worker(), func(w *deliveryWorker, is bool) { w.isFull = is }) },
	"failing workers": func(d *Deliveries) { d.hurt(d.worker(), func(w *deliveryWorker, is bool) { w.isFailed = is }) },
	"lost answers":    func(d *Deliveries) { d.hurt(d.worker(), func(w *deliveryWorker, is bool) { w.isMute = is }) },
	"all workers away": func(d *Deliveries) {
		for _, w := range d.workers {
			d.hurt(w, func(w *deliveryWorker, is bool) { w.isAway = is })
		}
	},
	"changed bounds": func(d *Deliveries) {
		d.configure(func(c *deliveryDoc) {
			c.bound = []time.Duration{500 * time.Millisecond, time.Second, 2 * time.Second}[d.Rand.IntN(3)]
		})
	},
	"changed pools": func(d *Deliveries) {
		d.configure(func(c *deliveryDoc) { c.concurrency, c.rate = 1+d.Rand.IntN(4), []float64{2, 20, 40}[d.Rand.IntN(3)] })
	},
	"changed attempts": func(d *Deliveries) { d.configure(func(c *deliveryDoc) { c.attempts = 1 + d.Rand.IntN(5) }) },
	"lanes come and go": func(d *Deliveries) {
		d.configure(func(c *deliveryDoc) {
			name := further[d.Rand.IntN(len(further))]
			c.lanes[name] = !c.lanes[name]
		})
	},
	"emptied zones": func(d *Deliveries) {
		key := config.ZoneKey + zoneOf(d.Rand.IntN(3))
		d.parts.write(feed.ConfigPart, wire.Edit{Key: key, Value: config.DrainOrder{Only: config.OnlyWorkers}.Encode(), IfRevision: -1})
		d.After(d.seconds(6), func() { d.restore(key) })
	},
	"stuck messages": func(d *Deliveries) { d.Stuck = 40; d.After(2*time.Second, func() { d.Stuck = 0 }) },
	"lost messages":  func(d *Deliveries) { d.Loss = 100; d.After(2*time.Second, func() { d.Loss = 0 }) },
	"slow links": func(d *Deliveries) {
		d.Slow = 200 * time.Millisecond
		d.After(2*time.Second, func() { d.Slow = 5 * time.Millisecond })
	},
	"adapters cut off": func(d *Deliveries) { d.cutOff(d.adapter().addr, true) },
	"one-way cuts":     func(d *Deliveries) { d.cutOff(d.adapter().addr, false) },
	"stores cut off":   func(d *Deliveries) { d.cutOff(d.store().addr, true) },
	"adapters cut from stores": func(d *Deliveries) { // its session stands all the same
		a, s := d.adapter(), d.store()
		d.Cut(a.addr, s.addr)
		d.Cut(s.addr, a.addr)
		d.After(d.seconds(6), d.Heal)
	},
	"deaf receiver": func(d *Deliveries) {
		d.receiver.isDeaf = true
		d.After(d.seconds(3), func() { d.receiver.isDeaf = false })
	},
}

func each[T any](list []T, work func(T)) {
	for _, one := range list {
		work(one)
	}
}

// holderOf returns the adapter that holds the endpoint's duty and is up, as the manager sees it; nil for none.
func (d *Deliveries) holderOf() *deliveryAdapter {
	held, _ := d.control.configs.Current().Duties["far"].Get(config.EndpointWorker)
	for _, a := range d.adapters {
		if a.isUp && a.name == held.Holder && a.daemon.Who.Boot == held.Boot {
			return a
		}
	}
	return nil
}

// count returns how many adapters are so.
func (d *Deliveries) count(is func(*deliveryAdapter) bool) (n int) {
	for _, a := range d.adapters {
		if is(a) {
			n++
		}
	}
	return n
}

func (d *Deliveries) store() *deliveryStore     { return d.stores[d.Rand.IntN(len(d.stores))] }
func (d *Deliveries) adapter() *deliveryAdapter { return d.adapters[d.Rand.IntN(len(d.adapters))] }
func (d *Deliveries) seconds(most int) time.Duration {
	return time.Duration(300+d.Rand.IntN(1000*most)) * time.Millisecond
}

// worker draws one that is listed and up, or the endpoint.
func (d *Deliveries) worker() *deliveryWorker {
	here := []*deliveryWorker{}
	for _, w := range d.workers {
		if w.isListed && w.isUp && !w.isLeaving && w.pool == "work" {
			here = append(here, w)
		}
	}
	if len(here) == 0 {
		return d.addWorker(zoneOf(d.Rand.IntN(3)))
	}
	return here[d.Rand.IntN(len(here))]
}

// hurt has something be so for a while, of a worker or now and then of the endpoint.
func (d *Deliveries) hurt(w *deliveryWorker, set func(w *deliveryWorker, is bool)) {
	if d.Rand.IntN(4) == 0 {
		w = d.workers[deliveryWorkers]
	}
	set(w, true)
	d.After(d.seconds(4), func() { set(w, false) })
}

func (d *Deliveries) configure(change func(*deliveryDoc)) {
	change(&d.control.doc)
	d.control.configure()
}

// restore takes an order about a zone back.
func (d *Deliveries) restore(key string) {
	if _, isStanding := d.parts.parts[feed.ConfigPart].Get(key); isStanding {
		d.parts.write(feed.ConfigPart, wire.Edit{Key: key, Gone: true, IfRevision: -1})
	}
}

func (d *Deliveries) cutOff(name string, isBothWays bool) {
	others := []string{ctlName, callerName}
	each(d.stores, func(s *deliveryStore) { others = append(others, s.addr) })
	each(d.adapters, func(a *deliveryAdapter) { others = append(others, a.addr, a.agent.addr) })
	for _, other := range others {
		if other != name {
			d.Cut(name, other)
			if isBothWays {
				d.Cut(other, name)
			}
		}
	}
	d.After(d.seconds(6), d.Heal)
}

// heal ends all faults, and has everything be up and well.
func (d *Deliveries) heal() {
	d.Calm()
	d.control.frozen, d.parts.frozen, d.receiver.isDeaf = 0, 0, false
	for i := range 3 {
		d.restore(config.ZoneKey + zoneOf(i))
	}
	for _, s := range d.stores {
		s.frozen, s.full = 0, 0
		s.start()
	}
	for _, a := range d.adapters {
		a.frozen, a.agent.frozen = 0, 0
		a.start()
	}
	for _, w := range d.workers {
		w.speak()
		w.isAway, w.isSlow, w.isFull, w.isFailed, w.isMute = false, false, false, false, false
	}
	d.configure(func(c *deliveryDoc) { c.rate, c.bound, c.concurrency = 40, time.Second, 2 })
}
