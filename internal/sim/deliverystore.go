package sim

import (
	"time"

	"caperwheel/internal/config"
	"caperwheel/internal/errs"
	"caperwheel/internal/group"
	"caperwheel/internal/host"
	"caperwheel/internal/place"
	"caperwheel/internal/session"
	"caperwheel/internal/store"
	"caperwheel/internal/timing"
	"caperwheel/internal/wire"
)

// deliveryStore is a store with its places and its dispatcher.
type deliveryStore struct {
	deliveryDaemon
	disks    []*Disk
	hosts    []*host.Host
	places   []*store.PlaceHost
	dispatch *store.Dispatcher
	isNudged bool
	full     time.Duration // its disk is full until then
}

func newDeliveryStore(d *Deliveries, name, zone string) *deliveryStore {
	s := &deliveryStore{deliveryDaemon: deliveryDaemon{d: d, kind: "store", name: name, zone: zone, addr: name}}
	for range deliveryPlaces {
		s.disks = append(s.disks, &Disk{w: d.World})
	}
	return s
}

func (s *deliveryStore) start() {
	if s.isUp {
		return
	}
	s.begin(func() string { return ctlName }, s.say)
	s.hosts, s.places, s.isNudged = nil, nil, false
	for number, disk := range s.disks {
		s.open(number, disk)
	}
	s.dispatch = store.NewDispatcher(store.DispatcherOptions{Daemon: s.daemon, Configs: s.configs, Rand: s.d.Rand,
		Places: func() []*store.PlaceHost { return s.places },
		Post:   s.postTo,
		Start: func(p *store.PlaceHost, lane string, g store.SlotGrant) error {
			err := p.Do(func() { p.Start(lane, g) })
			s.pump()
			return err
		}})
	s.d.every(&s.lifecycle, s.d.bound(timing.Tick), s.tick)
	s.d.every(&s.lifecycle, s.d.bound(timing.DispatchInterval), func() { s.dispatch.Dispatch() })
}

// open starts the replica of a place.
func (s *deliveryStore) open(number int, disk *Disk) {
	p := store.NewPlaceHost(&deliveryAround{s, number}, int64(number))
	roster := []string{}
	for i := range deliveryStores {
		roster = append(roster, []string{"s1/0", "s2/0", "s3/0"}[i])
	}
	h, err := host.New(host.Options{Id: wire.FirstPlaceGroup + int64(number), Self: s.name + "/0", Roster: roster, Bounds: timing.Default,
		Seed: s.d.Seed + uint64(s.life)*31 + uint64(number), Disk: &deliveryDisk{disk, s}, Held: disk.Held(), Now: s.now,
		Machine: p, Send: s.sendGroup, OnFailure: func(err error) { panic(err) }, CompactEntries: 300, MaxMessageBytes: 1 << 20, Schedule: s.later,
		Level: place.NewestLevel, PreferredOwner: func(roster []string) string { return s.prefer(number, roster) }})
	if err != nil {
		panic(err)
	}
	p.Attach(h)
	s.hosts, s.places = append(s.hosts, h), append(s.places, p)
}

func (s *deliveryStore) say(poll *wire.Poll) {
	if s.daemon.IsDraining() {
		poll.Fact.Counts[session.DrainingCount] = 1
	}
	for number, h := range s.hosts {
		if v := h.View(); v.Role == group.Owner {
			poll.Owns = append(poll.Owns, wire.Owned{Group: wire.FirstPlaceGroup + int64(number), Term: v.Term, Size: 3})
		}
	}
}

func (s *deliveryStore) tick() {
	for _, h := range s.hosts {
		h.Tick()
	}
	s.pump()
}

// pump does all that waits at the store's groups, unless it is frozen.
func (s *deliveryStore) pump() {
	if s.isUp && s.d.now >= s.frozen {
		for _, h := range s.hosts {
			h.RunPending()
		}
	}
}

func (s *deliveryStore) later(span time.Duration, work func()) {
	life := s.life
	s.d.After(span, func() { s.d.resume(&s.lifecycle, life, func() { work(); s.pump() }) })
}

func (s *deliveryStore) sendGroup(m wire.GroupMsg) {
	for _, to := range s.d.stores {
		if to.name == group.Name(m.To) {
			s.d.Send(s.addr, to.addr, func() {
				if to.isUp && int(m.Group-wire.FirstPlaceGroup) < len(to.hosts) {
					to.hosts[m.Group-wire.FirstPlaceGroup].Receive(m)
					to.pump()
				}
			})
		}
	}
}

func (s *deliveryStore) postTo(who wire.Who, ask any, answer func(any, error)) error {
	s.d.post(s.addr, &s.lifecycle, who.Addr, ask, func(reply any, err error) {
		if answer != nil {
			answer(reply, err)
			s.pump()
		}
	})
	return nil
}

// kill ends the store; a power cut takes what is not synced as well.
func (s *deliveryStore) kill(isPowerCut bool) {
	if !s.isUp {
		return
	}
	s.end()
	for _, disk := range s.disks {
		if isPowerCut {
			disk.Cut()
		} else {
			disk.Flush()
		}
	}
}

// onAsk serves callers and adapters.
func (s *deliveryStore) onAsk(ask any, answer func(any)) {
	number, serve := int64(0), func(*store.PlaceHost) {}
	switch m := ask.(type) {
	case *wire.Take:
		number, serve = m.Place, func(p *store.PlaceHost) { p.Take(m, answer) }
	case *wire.Settle:
		number, serve = m.Place, func(p *store.PlaceHost) { p.Settle(m, answer) }
	case *wire.Look:
		number, serve = m.Place, func(p *store.PlaceHost) { p.Look(m, answer) }
	case *wire.Outcome:
		number, serve = m.Place, func(p *store.PlaceHost) { p.Outcome(m, answer) }
	}
	p := s.places[number]
	_ = p.Do(func() { serve(p) })
	s.pump()
}

// deliveryDisk lets the store's groups go on whenever its disk has answered.
type deliveryDisk struct {
	*Disk
	s *deliveryStore
}

func (d *deliveryDisk) wrap(then func(error)) func(error) {
	return func(err error) { then(err); d.s.pump() }
}
func (d *deliveryDisk) Persist(id int64, p *group.DurableUpdate, then func(error)) {
	d.Disk.Persist(id, p, d.wrap(then))
}
func (d *deliveryDisk) AfterWrites(then func(error)) { d.Disk.AfterWrites(d.wrap(then)) }
func (d *deliveryDisk) SaveSlot(id int64, hard group.HardState, image *group.Snapshot, e *group.DurableUpdate, then func(error)) {
	d.Disk.SaveSlot(id, hard, image, e, d.wrap(then))
}

// deliveryAround is a place's environment.
type deliveryAround struct {
	s      *deliveryStore
	number int
}

func (a *deliveryAround) Now() time.Duration                    { return a.s.now() }
func (a *deliveryAround) After(span time.Duration, work func()) { a.s.later(span, work) }
func (a *deliveryAround) Bounds() timing.Bounds                 { return timing.Default }
func (a *deliveryAround) IsFresh() bool                         { return a.s.daemon.IsFresh() }
func (a *deliveryAround) IsDiskFull() bool                      { return a.s.d.now < a.s.full }
func (a *deliveryAround) IsDiskBusy() bool                      { return false }
func (a *deliveryAround) IsMemoryLow() bool                     { return false }
func (a *deliveryAround) Compiled() *config.Compiled            { return a.s.configs.Current() }
func (a *deliveryAround) Find(name string) (wire.Who, bool)     { return a.s.daemon.Membership.Find(name) }
func (a *deliveryAround) Adapters() []wire.Who                  { return a.s.daemon.Membership.OfKind("adapter") }
func (a *deliveryAround) Post(who wire.Who, ask any, answer func(any, error)) error {
	return a.s.postTo(who, ask, answer)
}
func (a *deliveryAround) SubmitToPlace(_ *wire.Take, tell func(bool)) { tell(false) }
func (a *deliveryAround) Release(g store.SlotGrant) {
	_ = a.s.postTo(g.Holder, &wire.Release{Permit: g.Permit}, nil)
}
func (a *deliveryAround) Notifier(address string) (wire.Who, bool) {
	return store.NotifierFor(a.s.daemon.Membership, a.s.configs.Current(), address)
}
func (a *deliveryAround) PlaceOf(string) int64         { return int64(a.number) }
func (a *deliveryAround) ChildId(parent string) string { return parent + "c" }
func (a *deliveryAround) Fail(err error)               { panic(errs.Wrap(err, errs.Internal, "place")) }

// Nudge has the dispatcher turn soon.
func (a *deliveryAround) Wake() {
	s := a.s
	if s.isNudged || s.dispatch == nil {
		return
	}
	s.isNudged = true
	life := s.life
	s.d.After(0, func() {
		s.d.resume(&s.lifecycle, life, func() {
			s.isNudged = false
			s.dispatch.Dispatch()
		})
	})
}
