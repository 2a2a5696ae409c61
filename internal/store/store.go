package store

import (
	"context"
	"fmt"
	"hash/fnv"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"k8s.io/klog/v2"

	"caperwheel/internal/config"
	"caperwheel/internal/daemon"
	"caperwheel/internal/group"
	"caperwheel/internal/host"
	"caperwheel/internal/place"
	"caperwheel/internal/reach"
	"caperwheel/internal/repair"
	"caperwheel/internal/settings"
	"caperwheel/internal/slot"
	"caperwheel/internal/timing"
	"caperwheel/internal/transport"
	"caperwheel/internal/wire"
)

// Store is the daemon.
type Store struct {
	d        *daemon.Daemon
	disk     *slot.Log
	founder  *founder
	configs  *config.Cache
	dispatch *Dispatcher
	keeper   *repair.Keeper // results that adapters could not deliver to their owner
	diskFull atomic.Bool
	rosters  *Rosters
	ctx      context.Context

	mu     sync.RWMutex
	held   map[int64]*slot.Held
	hosts  map[int64]*host.Host
	places map[int64]*PlaceHost
	parts  map[int64]*PartHost
	own    atomic.Pointer[[]*PlaceHost]
	begun  sync.Once
	isOpen atomic.Bool
	// Intake is rejected for want of memory.
	isTight atomic.Bool
}

// Run is the store's main; a source gives its settings another way.
func Run(source *settings.Source) {
	widen()
	d := daemon.New("store", source)
	s := &Store{d: d, configs: &config.Cache{View: d.View}, hosts: map[int64]*host.Host{},
		places: map[int64]*PlaceHost{}, parts: map[int64]*PartHost{}}
	s.own.Store(&[]*PlaceHost{})
	d.CanRead = s.configs.CanRead
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	s.ctx = ctx
	s.dispatch = NewDispatcher(DispatcherOptions{Daemon: d, Configs: s.configs, Places: s.ownPlaces, Post: s.post,
		Start: func(p *PlaceHost, lane string, g SlotGrant) error { return p.Do(func() { p.Start(lane, g) }) },
		Rand:  rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))})
	s.keeper = repair.NewKeeper(4*d.Settings.Most, d.Bounds.Of(timing.Resend), d.Bounds.Of(timing.SettleTimeout))
	folder, err := slot.OpenFolder(d.Settings.Data)
	d.Must(err)
	s.disk, s.held, err = slot.Open(folder, slot.Options{FreeBytes: uint64(d.Settings.Reserve)})
	d.Must(err)
	s.rosters = NewRosters(d.Bounds, s.copies())
	s.founder, err = newFounder(d, folder, s.begin)
	d.Must(err)
	d.Who.Boot = s.founder.snapshot().Inc + "." + d.Who.Boot
	d.Refused = s.missing
	d.Link(map[string]transport.Handler{"group": s.onGroup, "part": s.onPart, "place": s.onPlace})
	d.Ready = s.ready
	client := d.Client(s.say)
	go client.Run(ctx)
	if s.founder.snapshot().Founded {
		s.begin()
	}
	d.Outlasts = true
	d.Measure(s.measure)
	d.Mux.HandleFunc("GET /v1/messages/{id}/story", s.getStory)
	go s.upkeep(ctx)
	go s.dispatch.run(ctx)
	owners := &reach.Reach{Node: d.Node, Membership: d.Membership, Bounds: d.Bounds, Link: wire.PlaceLink}
	go s.keeper.HandOver(ctx, owners, func(place int64) int64 { return wire.PlaceGroup + place }, d.Now)
	d.Serve(s.leave)
}

// begin opens the groups once the store belongs to a deployment.
func (s *Store) begin() {
	s.begun.Do(func() {
		id := s.founder.snapshot()
		if !slices.Contains(id.Roster, id.Name+"/"+id.Inc) {
			s.mu.Lock()
			ids := slices.Collect(maps.Keys(s.held))
			s.mu.Unlock()
			for _, groupId := range ids { // a joiner opens what it holds; the rest comes by message
				s.open(groupId)
			}
		} else {
			for part := range int64(s.d.Settings.Parts) + 1 {
				s.open(part)
			}
			for number := range int64(s.d.Settings.Places) {
				s.open(wire.PlaceGroup + number)
			}
		}
		s.isOpen.Store(true)
		klog.Infof("store: %d groups are open.", len(s.groupIds()))
	})
}

// open starts the replica of a group on this store. A replica that lost what
// it had promised starts blank, under a new member id that has no vote.
func (s *Store) open(groupId int64) *host.Host {
	s.mu.Lock()
	defer s.mu.Unlock()
	if h := s.hosts[groupId]; h != nil {
		return h
	}
	held := s.held[groupId]
	if held == nil && s.disk.HasLost() || held != nil && held.IsDamaged {
		klog.Errorf("store: Group %d has lost what was on disk; it is rebuilt from its peers.", groupId)
		s.d.Must(s.founder.rebuild(groupId))
		done := make(chan error, 1)
		s.disk.SaveSlot(groupId, group.HardState{}, nil, &group.Persist{}, func(err error) { done <- err })
		s.d.Must(<-done)
		held = nil
	}
	member, roster := s.founder.member(groupId), []string(nil)
	if founding := s.founder.snapshot().Roster; slices.Contains(founding, member) {
		roster = founding
	}
	seed := fnv.New64a()
	seed.Write([]byte(s.d.Who.Boot))
	opts := host.Options{Id: groupId, Self: member, Roster: roster, Bounds: s.d.Bounds, Seed: seed.Sum64(),
		Disk: s.disk, Held: held, Now: s.d.Now, Send: s.sendGroup, Failed: s.fail, Room: s.hasRoom,
		Later:  func(span time.Duration, work func()) { time.AfterFunc(span, work) },
		Prefer: func(roster []string) string { return s.prefer(groupId, roster) },
		Repair: func(silence repair.Silence) (map[string]string, []string) { return s.rosterPlan(groupId, silence) }}
	var h *host.Host
	var err error
	if groupId >= wire.PlaceGroup {
		p := NewPlaceHost(&environment{s}, groupId-wire.PlaceGroup)
		opts.Machine, opts.Level = p, place.NewestLevel
		h, err = host.New(opts)
		p.Use(h)
		s.places[groupId-wire.PlaceGroup] = p
	} else {
		p := NewPartHost(&environment{s}, groupId)
		opts.Machine = p
		h, err = host.New(opts)
		p.host = h
		s.parts[groupId] = p
	}
	s.d.Must(err)
	s.hosts[groupId] = h
	delete(s.held, groupId) // the host has it now
	go h.Run(s.ctx)
	all := slices.Collect(maps.Values(s.places))
	s.own.Store(&all)
	return h
}

// fail stops the whole store: a disk that fails may have lost anything.
func (s *Store) fail(err error) { s.d.Must(err) }

func (s *Store) groupIds() []int64 {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return slices.Sorted(maps.Keys(s.hosts))
}

func (s *Store) hostOf(groupId int64) *host.Host {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.hosts[groupId]
}

// ownPlaces lists the places held here; those not owned have nothing ready.
func (s *Store) ownPlaces() []*PlaceHost { return *s.own.Load() }

// prefer spreads ownership evenly: by hash of group and member, over the
// members that are here, not asked to stop, not retired, and not in an emptied zone.
func (s *Store) prefer(groupId int64, roster []string) string {
	compiled, best, top := s.configs.Current(), "", uint64(0)
	for _, m := range group.Voters(roster) {
		name := group.Name(m)
		who, isMember := s.d.Membership.Find(name)
		isLeaving := s.d.Membership.IsLeaving(name) || name == s.d.Who.Name && s.d.IsLeaving()
		if !isMember && name != s.d.Who.Name || isLeaving || compiled.Retired[name] || compiled.Emptied[who.Zone] {
			continue
		}
		h := fnv.New64a()
		fmt.Fprintf(h, "%d|%s", groupId, name)
		if rank := h.Sum64() * 0x9e3779b97f4a7c15; best == "" || rank > top {
			best, top = m, rank
		}
	}
	return best
}
