package sim

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"caperwheel/internal/check"
	"caperwheel/internal/config"
	"caperwheel/internal/errs"
	"caperwheel/internal/group"
	"caperwheel/internal/host"
	"caperwheel/internal/place"
	"caperwheel/internal/repair"
	"caperwheel/internal/store"
	"caperwheel/internal/timing"
	"caperwheel/internal/wire"
)

// Places simulates one place with its stores, adapters, workers and callers:
// the real group, host, place owner and adapter's book, on a simulated clock,
// network and disk.
type Places struct {
	*World
	H         *check.History
	stores    []*simStore
	adapters  []*simAdapter
	rules     *config.Rules
	retention time.Duration // for which ends are kept
	serial    int
	runs      []*check.Run  // as the workers saw them
	Unhealthy int           // share of runs that fail, in thousandths
	LoseAns   int           // share of runs whose answer is lost
	Stall     int           // share of runs that take longer than their bound
	Break     int           // share of runs whose connection breaks
	taken     []check.Sent  // to be asked for meanwhile
	hurtAt    time.Duration // when something was last missing
	stamps    *stamps
	mutant    Mutant
	broken    []check.Breach // found while it ran
	away      time.Duration  // until then no store that is down comes back
}

// simStore is one store; it is the place's surroundings too.
type simStore struct {
	w          *Places
	name       string
	disk       *Disk
	isUp       bool
	life       int
	host       *host.Host
	place      *store.PlaceHost
	membership map[string]presence
	peers      []*simStore
	keeper     *repair.ResultBuffer // of adapters' results; gone when the store is killed
	fresh      time.Duration        // newest confirmation; before it is too old, the store may act
	full       time.Duration        // its disk is full until then
	frozen     time.Duration        // nothing is done before this; what comes meanwhile waits
	level      int64                // the newest feature level that its build can apply
}

type presence struct {
	who     wire.Who
	heardAt time.Duration
}

// NewPlaces lays everything out and starts it.
func NewPlaces(w *World, adapters int, mutant Mutant) *Places {
	return newPlacesOf(w, adapters, mutant, func(string) int64 { return place.NewestLevel })
}

// newPlacesOf is NewPlaces with stores of several builds: level tells which feature level each
// can apply.
func newPlacesOf(w *World, adapters int, mutant Mutant, level func(store string) int64) *Places {
	p := &Places{World: w, H: check.NewHistory(), stamps: newStamps(w), mutant: mutant}
	p.retention = time.Hour
	p.rules = rulesWith(workBound, p.retention)
	p.H.Pools["free"], p.H.Pools["seq"], p.H.Order["seq"] = []string{"work"}, []string{"work"}, true
	for i := range 3 {
		s := &simStore{w: p, name: fmt.Sprintf("s%d", i+1), disk: &Disk{w: w}}
		s.level = level(s.name)
		p.stores = append(p.stores, s)
	}
	for i := range adapters {
		a := &simAdapter{w: p, name: fmt.Sprintf("a%d", i+1)}
		p.adapters = append(p.adapters, a)
		a.newAgent()
		p.handOver(a.name, func() *repair.ResultBuffer { return a.agent })
		a.start()
	}
	for _, s := range p.stores {
		s.peers = p.stores
		s.start()
		p.handOver(s.name, func() *repair.ResultBuffer {
			if !s.isUp || p.now < s.frozen {
				return nil
			}
			return s.keeper
		})
	}
	return p
}

// rulesWith are the rules of the simulation, with the pool's bound, and how long ends are kept.
func rulesWith(bound, retention time.Duration) *config.Rules {
	rules, faults := config.Compile(fmt.Appendf(nil, `{"pools":{"work":{"bound":"%v"}},"lanes":{
		"free":{"pools":["work"],"attempts":0,"patience":"2m","retention":"%v"},
		"seq":{"pools":["work"],"attempts":4,"ordering":"key","patience":"2m","retention":"%v"}}}`, bound, retention, retention))
	if len(faults) > 0 {
		panic(errs.New(errs.Internal, "rules of the simulation: %v", faults))
	}
	return rules
}

func (p *Places) roster() []string {
	out := []string{}
	for _, s := range p.stores {
		out = append(out, s.name+"/0")
	}
	return out
}

func (s *simStore) start() {
	if s.isUp {
		return
	}
	s.frozen = 0
	s.keeper = repair.NewResultBuffer(1000, timing.Default.Of(timing.Resend), retryPause)
	s.isUp, s.life, s.membership, s.fresh = true, s.life+1, map[string]presence{}, s.w.now
	s.place = store.NewPlaceHost(s, 0)
	h, err := host.New(host.Options{Id: 1, Self: s.name + "/0", Roster: s.w.roster(), Bounds: timing.Default,
		Seed: s.w.Seed + uint64(s.life), Disk: &pumped{s.disk, s}, Held: s.disk.Held(), Now: s.w.Now,
		Machine: &timedPlace{s.place, s, s.w.stamps.newLead()}, Send: s.post, OnFailure: s.Fail, CompactEntries: 300, MaxMessageBytes: 500, Schedule: s.later, Level: s.level})
	if err != nil {
		panic(err)
	}
	s.host = h
	s.place.Attach(&stamped{h, s.w.stamps, s.w.mutant == BlindToLevels})
	s.w.Note("start %s", s.name)
	s.tick(s.dispatch)
}

// later does work of the host once a time has passed, in this life and when thawed.
func (s *simStore) later(span time.Duration, work func()) {
	life := s.life
	s.w.After(max(span, s.frozen-s.w.now), func() {
		switch {
		case !s.isUp || s.life != life:
		case s.w.now < s.frozen:
			s.later(0, work)
		default:
			work()
			s.pump()
		}
	})
}

// tick lets the host live by the simulated clock, and does more with each tick.
func (s *simStore) tick(more func()) {
	life := s.life
	var tick func()
	tick = func() {
		if s.isUp && s.life == life {
			if s.w.now >= s.frozen {
				s.host.Tick()
				s.pump()
				more()
			}
			s.w.After(20*time.Millisecond, tick)
		}
	}
	tick()
}

// pump does all that waits at the store, unless it is frozen.
func (s *simStore) pump() {
	if s.w.now >= s.frozen {
		s.host.RunPending()
	}
}

func (s *simStore) freeze() {
	s.frozen = s.w.now + time.Duration(s.w.Rand.IntN(6000))*time.Millisecond
	s.w.Note("freeze %s until %v", s.name, s.frozen)
}

func (s *simStore) kill() {
	if s.isUp {
		s.isUp, s.life = false, s.life+1
		s.disk.Cut()
		s.w.Note("kill %s", s.name)
	}
}

func (s *simStore) post(m wire.GroupMsg) {
	for _, to := range s.peers {
		if to.name == group.Name(m.To) {
			s.w.Send(s.name, to.name, func() {
				if to.isUp {
					to.host.Receive(m)
					to.pump()
				}
			})
		}
	}
}

// dispatch stands for the dispatcher: while something is ready, it asks some
// adapter for a slot.
func (s *simStore) dispatch() {
	if !s.host.IsOwner() || !s.IsFresh() {
		return
	}
	ready := s.place.Ready()
	for _, lane := range slices.Sorted(maps.Keys(ready)) { // in order: a seed must replay exactly
		for range min(ready[lane], 3) {
			a := s.w.adapters[s.w.Rand.IntN(len(s.w.adapters))]
			who, isMember := s.Find(a.name)
			if !isMember {
				continue
			}
			asked, life := s.w.now, s.life
			s.w.ask(s.name, a, func() any {
				if !a.isFresh() || who.Boot != a.boot() {
					return nil
				}
				return a.grant()
			}, func(reply any, err error) {
				if permit, isGranted := reply.(int64); err == nil && isGranted && s.isUp && s.life == life {
					g := store.SlotGrant{Pool: "work", Worker: "w-" + a.name, Holder: who, Permit: permit,
						Until: asked + timing.Default.Of(timing.Permit)/2}
					_ = s.host.Do(func() { s.place.Start(lane, g) })
					s.pump()
				}
			})
		}
	}
}
