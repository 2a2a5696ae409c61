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
	"caperwheel/internal/ownerclient"
	"caperwheel/internal/place"
	"caperwheel/internal/repair"
	"caperwheel/internal/settings"
	"caperwheel/internal/storage"
	"caperwheel/internal/timing"
	"caperwheel/internal/transport"
	"caperwheel/internal/wire"
)

// Store is the store daemon.
type Store struct {
	d            *daemon.Daemon
	disk         *storage.Log
	bootstrapper *bootstrapper
	configs      *config.Cache
	dispatcher   *Dispatcher
	results      *repair.ResultBuffer // results that adapters could not deliver to the owner of their place
	diskFull     atomic.Bool
	rosters      *RosterPlanner
	ctx          context.Context

	mu         sync.RWMutex
	unopened   map[int64]*storage.StoredGroup // groups found on disk that are not opened yet
	hosts      map[int64]*host.Host
	places     map[int64]*PlaceHost
	parts      map[int64]*PartHost
	heldPlaces atomic.Pointer[[]*PlaceHost]
	openOnce   sync.Once
	isOpen     atomic.Bool // the groups are open
	// Intake is rejected for lack of memory.
	isMemoryLow atomic.Bool
}

// Run runs the store daemon; source provides its settings.
func Run(source *settings.Source) {
	raiseMaxProcs()
	d := daemon.New("store", source)
	s := &Store{d: d, configs: &config.Cache{View: d.View}, hosts: map[int64]*host.Host{},
		places: map[int64]*PlaceHost{}, parts: map[int64]*PartHost{}}
	s.heldPlaces.Store(&[]*PlaceHost{})
	d.CanReadConfig = s.configs.CanRead
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	s.ctx = ctx
	s.dispatcher = NewDispatcher(DispatcherOptions{Daemon: d, Configs: s.configs, Places: s.listPlaces, Post: s.post,
		Start: func(p *PlaceHost, lane string, g SlotGrant) error { return p.Do(func() { p.Start(lane, g) }) },
		Rand:  rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))})
	s.results = repair.NewResultBuffer(4*d.Settings.MaxInFlight, d.Bounds.Of(timing.Resend), d.Bounds.Of(timing.SettleTimeout))
	folder, err := storage.OpenFolder(d.Settings.Data)
	d.Must(err)
	s.disk, s.unopened, err = storage.Open(folder, storage.Options{FreeBytes: uint64(d.Settings.DiskReserve)})
	d.Must(err)
	s.rosters = NewRosterPlanner(d.Bounds, s.replicas())
	s.bootstrapper, err = newBootstrapper(d, folder, s.openGroups)
	d.Must(err)
	d.Who.Boot = s.bootstrapper.snapshot().Incarnation + "." + d.Who.Boot
	d.OnRefused = s.reportMissingStore
	d.OpenTransport(map[string]transport.Handler{"group": s.onGroup, "part": s.onPart, "place": s.onPlace})
	d.Ready = s.ready
	client := d.NewSessionClient(s.sessionPoll)
	go client.Run(ctx)
	if s.bootstrapper.snapshot().IsBootstrapped {
		s.openGroups()
	}
	d.StopsLast = true
	d.AddMetrics(s.emitMetrics)
	d.Mux.HandleFunc("GET /v1/messages/{id}/story", s.serveMessageStatus)
	go s.maintain(ctx)
	go s.dispatcher.run(ctx)
	owners := &ownerclient.Client{Node: d.Node, Membership: d.Membership, Bounds: d.Bounds, Link: wire.PlaceLink}
	go s.results.DeliverResults(ctx, owners, func(place int64) int64 { return wire.FirstPlaceGroup + place }, d.Now)
	d.Serve(s.drain)
}

// openGroups opens the groups once the store belongs to a deployment.
func (s *Store) openGroups() {
	s.openOnce.Do(func() {
		id := s.bootstrapper.snapshot()
		if !slices.Contains(id.Roster, id.Name+"/"+id.Incarnation) {
			s.mu.Lock()
			ids := slices.Collect(maps.Keys(s.unopened))
			s.mu.Unlock()
			// A store that joined later opens what it holds. Other groups open when their owner sends entries.
			for _, groupId := range ids {
				s.openGroup(groupId)
			}
		} else {
			for part := range int64(s.d.Settings.Parts) + 1 {
				s.openGroup(part)
			}
			for number := range int64(s.d.Settings.Places) {
				s.openGroup(wire.FirstPlaceGroup + number)
			}
		}
		s.isOpen.Store(true)
		klog.Infof("store: Opened the replicas of %d groups.", len(s.groupIds()))
	})
}

// openGroup starts the replica of a group on this store. A replica that lost its persisted votes and entries starts
// blank, under a new member id that has no vote.
func (s *Store) openGroup(groupId int64) *host.Host {
	s.mu.Lock()
	defer s.mu.Unlock()
	if h := s.hosts[groupId]; h != nil {
		return h
	}
	stored := s.unopened[groupId]
	if stored == nil && s.disk.HasLostData() || stored != nil && stored.IsDamaged {
		klog.Errorf("store: The replica of group %d lost its data on disk; it is rebuilt from the other replicas.", groupId)
		s.d.Must(s.bootstrapper.recordRebuild(groupId))
		done := make(chan error, 1)
		s.disk.SaveSlot(groupId, group.HardState{}, nil, &group.DurableUpdate{}, func(err error) { done <- err })
		s.d.Must(<-done)
		stored = nil
	}
	member, roster := s.bootstrapper.memberId(groupId), []string(nil)
	if founders := s.bootstrapper.snapshot().Roster; slices.Contains(founders, member) {
		roster = founders
	}
	seed := fnv.New64a()
	seed.Write([]byte(s.d.Who.Boot))
	opts := host.Options{Id: groupId, Self: member, Roster: roster, Bounds: s.d.Bounds, Seed: seed.Sum64(),
		Disk: s.disk, Held: stored, Now: s.d.Now, Send: s.sendGroupMessage, OnFailure: s.fail, HasCapacity: s.hasRoom,
		Schedule:       func(span time.Duration, work func()) { time.AfterFunc(span, work) },
		PreferredOwner: func(roster []string) string { return s.preferredOwner(groupId, roster) },
		PlanRoster:     func(silence repair.Silence) (map[string]string, []string) { return s.rosterPlan(groupId, silence) }}
	var h *host.Host
	var err error
	if groupId >= wire.FirstPlaceGroup {
		p := NewPlaceHost(&environment{s}, groupId-wire.FirstPlaceGroup)
		opts.Machine, opts.Level = p, place.NewestLevel
		h, err = host.New(opts)
		p.Attach(h)
		s.places[groupId-wire.FirstPlaceGroup] = p
	} else {
		p := NewPartHost(&environment{s}, groupId)
		opts.Machine = p
		h, err = host.New(opts)
		p.host = h
		s.parts[groupId] = p
	}
	s.d.Must(err)
	s.hosts[groupId] = h
	delete(s.unopened, groupId) // owned by the host now
	go h.Run(s.ctx)
	all := slices.Collect(maps.Values(s.places))
	s.heldPlaces.Store(&all)
	return h
}

// fail stops the whole store, because after a disk error any data may be lost.
func (s *Store) fail(err error) { s.d.Must(err) }

// groupIds returns the ids of the open groups in order.
func (s *Store) groupIds() []int64 {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return slices.Sorted(maps.Keys(s.hosts))
}

// hostOf returns the host of a group, nil if the group is not open here.
func (s *Store) hostOf(groupId int64) *host.Host {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.hosts[groupId]
}

// listPlaces lists the places held here, including those that are owned elsewhere.
func (s *Store) listPlaces() []*PlaceHost { return *s.heldPlaces.Load() }

// preferredOwner returns the member that should own a group. It spreads ownerships evenly by a hash of group and
// member, over the members that have a session, are not asked to stop or retired, and are not in an emptied zone.
func (s *Store) preferredOwner(groupId int64, roster []string) string {
	compiled, best, top := s.configs.Current(), "", uint64(0)
	for _, m := range group.Voters(roster) {
		name := group.Name(m)
		who, isMember := s.d.Membership.Find(name)
		isDraining := s.d.Membership.IsDraining(name) || name == s.d.Who.Name && s.d.IsDraining()
		if !isMember && name != s.d.Who.Name || isDraining || compiled.RetiredStores[name] || compiled.DrainedZones[who.Zone] {
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
