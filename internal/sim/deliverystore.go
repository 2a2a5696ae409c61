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

// deliveryStore is a store with its replicas of all places and its dispatcher.
type deliveryStore struct {
	deliveryDaemon
	disks         []*Disk
	hosts         []*host.Host
	places        []*store.PlaceHost
	dispatcher    *store.Dispatcher
	isWakePending bool
	diskFullUntil time.Duration // the disk is full until then
}

func newDeliveryStore(d *Deliveries, name, zone string) *deliveryStore {
	s := &deliveryStore{deliveryDaemon: deliveryDaemon{d: d, kind: "store", name: name, zone: zone, addr: name}}
	for range deliveryPlaces {
		s.disks = append(s.disks, &Disk{w: d.World})
	}
	return s
}

// start opens all replicas from their disks and starts the dispatcher.
func (s *deliveryStore) start() {
	if s.isUp {
		return
	}
	s.begin(func() string { return controlName }, s.fillPoll)
	s.hosts, s.places, s.isWakePending = nil, nil, false
	for number, disk := range s.disks {
		s.open(number, disk)
	}
	s.dispatcher = store.NewDispatcher(store.DispatcherOptions{Daemon: s.daemon, Configs: s.configs, Rand: s.d.Rand,
		Places: func() []*store.PlaceHost { return s.places },
		Post:   s.postTo,
		Start: func(p *store.PlaceHost, lane string, g store.SlotGrant) error {
			err := p.Do(func() { p.Start(lane, g) })
			s.runPending()
			return err
		}})
	s.d.every(&s.lifecycle, s.d.bound(timing.Tick), s.tick)
	s.d.every(&s.lifecycle, s.d.bound(timing.DispatchInterval), func() { s.dispatcher.Dispatch() })
}

// open starts the replica of a place.
func (s *deliveryStore) open(number int, disk *Disk) {
	p := store.NewPlaceHost(&deliveryEnv{s, number}, int64(number))
	roster := []string{}
	for i := range deliveryStores {
		roster = append(roster, []string{"s1/0", "s2/0", "s3/0"}[i])
	}
	h, err := host.New(host.Options{Id: wire.FirstPlaceGroup + int64(number), Self: s.name + "/0", Roster: roster, Bounds: timing.Default,
		Seed: s.d.Seed + uint64(s.generation)*31 + uint64(number), Disk: &deliveryDisk{disk, s}, Held: disk.Held(), Now: s.now,
		Machine: p, Send: s.sendGroupMessage, OnFailure: func(err error) { panic(err) }, CompactEntries: 300, MaxMessageBytes: 1 << 20, Schedule: s.schedule,
		Level: place.NewestLevel, PreferredOwner: func(roster []string) string { return s.preferredOwner(number, roster) }})
	if err != nil {
		panic(err)
	}
	p.Attach(h)
	s.hosts, s.places = append(s.hosts, h), append(s.places, p)
}

// fillPoll adds the draining state and the owned groups to a poll.
func (s *deliveryStore) fillPoll(poll *wire.Poll) {
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
	s.runPending()
}

// runPending runs the pending work of the store's groups, unless the store is frozen.
func (s *deliveryStore) runPending() {
	if s.isUp && s.d.now >= s.frozenUntil {
		for _, h := range s.hosts {
			h.RunPending()
		}
	}
}

// schedule runs work after a time, if the store is still in the same generation.
func (s *deliveryStore) schedule(span time.Duration, work func()) {
	generation := s.generation
	s.d.After(span, func() { s.d.runIfAlive(&s.lifecycle, generation, func() { work(); s.runPending() }) })
}

// sendGroupMessage sends a message of a replicated group to the store of its addressee.
func (s *deliveryStore) sendGroupMessage(m wire.GroupMsg) {
	for _, to := range s.d.stores {
		if to.name == group.Name(m.To) {
			s.d.Send(s.addr, to.addr, func() {
				if to.isUp && int(m.Group-wire.FirstPlaceGroup) < len(to.hosts) {
					to.hosts[m.Group-wire.FirstPlaceGroup].Receive(m)
					to.runPending()
				}
			})
		}
	}
}

// postTo sends a request to a daemon and passes the reply to answer, if given.
func (s *deliveryStore) postTo(who wire.Who, request any, answer func(any, error)) error {
	s.d.sendRequest(s.addr, &s.lifecycle, who.Addr, request, func(reply any, err error) {
		if answer != nil {
			answer(reply, err)
			s.runPending()
		}
	})
	return nil
}

// kill ends the store; a power cut also loses unsynced writes.
func (s *deliveryStore) kill(isPowerCut bool) {
	if !s.isUp {
		return
	}
	s.end()
	for _, disk := range s.disks {
		if isPowerCut {
			disk.CutPower()
		} else {
			disk.Flush()
		}
	}
}

// handle serves callers and adapters.
func (s *deliveryStore) handle(request any, answer func(any)) {
	number, serve := int64(0), func(*store.PlaceHost) {}
	switch m := request.(type) {
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
	s.runPending()
}

// deliveryDisk is a Disk that runs the store's pending work after each write.
type deliveryDisk struct {
	*Disk
	s *deliveryStore
}

func (d *deliveryDisk) wrap(then func(error)) func(error) {
	return func(err error) { then(err); d.s.runPending() }
}
func (d *deliveryDisk) Persist(id int64, p *group.DurableUpdate, then func(error)) {
	d.Disk.Persist(id, p, d.wrap(then))
}
func (d *deliveryDisk) AfterWrites(then func(error)) { d.Disk.AfterWrites(d.wrap(then)) }
func (d *deliveryDisk) SaveSlot(id int64, hard group.HardState, image *group.Snapshot, e *group.DurableUpdate, then func(error)) {
	d.Disk.SaveSlot(id, hard, image, e, d.wrap(then))
}

// deliveryEnv implements store.Environment for one place of a store.
type deliveryEnv struct {
	s      *deliveryStore
	number int
}

func (a *deliveryEnv) Now() time.Duration                    { return a.s.now() }
func (a *deliveryEnv) After(span time.Duration, work func()) { a.s.schedule(span, work) }
func (a *deliveryEnv) Bounds() timing.Bounds                 { return timing.Default }
func (a *deliveryEnv) IsFresh() bool                         { return a.s.daemon.IsFresh() }
func (a *deliveryEnv) IsDiskFull() bool                      { return a.s.d.now < a.s.diskFullUntil }
func (a *deliveryEnv) IsDiskBusy() bool                      { return false }
func (a *deliveryEnv) IsMemoryLow() bool                     { return false }
func (a *deliveryEnv) Compiled() *config.Compiled            { return a.s.configs.Current() }
func (a *deliveryEnv) Find(name string) (wire.Who, bool)     { return a.s.daemon.Membership.Find(name) }
func (a *deliveryEnv) Adapters() []wire.Who                  { return a.s.daemon.Membership.OfKind("adapter") }
func (a *deliveryEnv) HasOlderAdapters() bool                { return a.s.daemon.Membership.HasOlderAdapters() }
func (a *deliveryEnv) Post(who wire.Who, request any, answer func(any, error)) error {
	return a.s.postTo(who, request, answer)
}
func (a *deliveryEnv) SubmitToPlace(_ *wire.Take, done func(bool)) { done(false) }
func (a *deliveryEnv) Release(g store.SlotGrant) {
	_ = a.s.postTo(g.Holder, &wire.Release{Permit: g.Permit}, nil)
}
func (a *deliveryEnv) Notifier(address string) (wire.Who, bool) {
	return store.NotifierFor(a.s.daemon.Membership, a.s.configs.Current(), address)
}
func (a *deliveryEnv) PlaceOf(string) int64         { return int64(a.number) }
func (a *deliveryEnv) ChildId(parent string) string { return parent + "c" }
func (a *deliveryEnv) Fail(err error)               { panic(errs.Wrap(err, errs.Internal, "place")) }

// Wake runs the dispatcher soon; further calls until then have no effect.
func (a *deliveryEnv) Wake() {
	s := a.s
	if s.isWakePending || s.dispatcher == nil {
		return
	}
	s.isWakePending = true
	generation := s.generation
	s.d.After(0, func() {
		s.d.runIfAlive(&s.lifecycle, generation, func() {
			s.isWakePending = false
			s.dispatcher.Dispatch()
		})
	})
}
