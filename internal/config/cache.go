package config

import (
	"encoding/json"
	"maps"
	"slices"
	"strings"
	"sync"

	"caperwheel/internal/feed"
	"caperwheel/internal/weight"
	"caperwheel/internal/wire"
)

// Cache keeps the configuration of a view, compiled. What has changed in the view since is
// compiled, and the rest is shared with the Compiled before: lists and duties may be long.
//
// Invariants: compiled has all changes up to reached, and is never written once it was returned;
// lists has each standing key of the pools' lists.
type Cache struct {
	View *feed.View

	mu       sync.Mutex
	turn     int64
	compiled *Compiled
	reached  map[int64]int64            // revisions, by part
	lists    map[string]map[string]list // by pool and key
}

// list is what one key has of a pool's list.
type list struct {
	revision int64
	workers  []Worker
}

// Current returns the configuration of the view as it is.
func (s *Cache) Current() *Compiled {
	s.mu.Lock()
	defer s.mu.Unlock()
	turn := s.View.Turns()
	if s.compiled == nil || turn != s.turn {
		s.advance()
		s.turn = turn
	}
	return s.compiled
}

// CanRead reports whether the newest configuration says anything to this build. A daemon
// that cannot read it must stop, as one that has not heard of it must, rather
// than take every lane for one that was removed.
func (s *Cache) CanRead() bool { return !s.Current().IsUnread }

func newCompiled() *Compiled {
	return &Compiled{Workers: map[string]map[string]Worker{}, Duties: map[string]map[string]Held{},
		Emptied: map[string]bool{}, Resting: map[string]bool{}, Easing: map[string]bool{}, Retired: map[string]bool{},
		Weights: map[string]weight.Weights{}, Shares: map[string]map[string]float64{},
		Rules: &Rules{Lanes: map[string]Lane{}, Pools: map[string]Pool{}}}
}

// advance compiles what has changed since reached.
func (s *Cache) advance() {
	if s.compiled == nil {
		s.compiled, s.lists = newCompiled(), map[string]map[string]list{}
	}
	changes, reached := s.View.Since(s.reached)
	next := *s.compiled
	u := update{next: &next, lists: s.lists, isOwn: map[string]bool{}, listed: map[string]bool{}}
	for _, c := range changes {
		u.take(c)
	}
	u.finish()
	s.compiled, s.reached = &next, reached
}

// update makes the next Compiled of one. Maps are copied before they are first written.
type update struct {
	next   *Compiled
	lists  map[string]map[string]list
	isOwn  map[string]bool // what has been copied
	listed map[string]bool // pools whose list is to be put together again
}

// own copies a map of the Compiled before, once.
func own[V any](u *update, name string, m *map[string]V) map[string]V {
	if !u.isOwn[name] {
		u.isOwn[name] = true
		*m = maps.Clone(*m)
	}
	return *m
}

// takers are what is done with a change, by the prefix of its key; no prefix begins another.
var takers = []struct {
	prefix string
	take   func(u *update, name string, c wire.Change)
}{
	{DutyKey, (*update).takeDuty},
	{WorkersKey, (*update).takeList},
	{ZoneKey, (*update).takeZone},
	{StoreKey, (*update).takeStore},
	{WeightKey, (*update).takeWeights},
	{ShareKey, (*update).takeShares},
}

// take takes one change in.
func (u *update) take(c wire.Change) {
	if c.Key == Key {
		u.takeRules(c)
		return
	}
	for _, t := range takers {
		if name, isIt := strings.CutPrefix(c.Key, t.prefix); isIt {
			t.take(u, name, c)
			return
		}
	}
}

func (u *update) takeRules(c wire.Change) {
	for name := range u.next.Rules.Pools {
		u.listed[name] = true
	}
	u.next.Revision, u.next.IsUnread = c.Revision, false
	rules, faults := Compile(c.Value)
	if len(faults) > 0 || c.Gone {
		rules = &Rules{Lanes: map[string]Lane{}, Pools: map[string]Pool{}}
		u.next.IsUnread = !c.Gone
	}
	if c.Gone {
		u.next.Revision = 0
	}
	u.next.Rules = rules
	for name := range rules.Pools {
		u.listed[name] = true
	}
}

func (u *update) takeZone(zone string, c wire.Change) {
	emptied, resting, easing := own(u, ZoneKey, &u.next.Emptied), own(u, "resting", &u.next.Resting), own(u, "easing", &u.next.Easing)
	delete(emptied, zone)
	delete(resting, zone)
	delete(easing, zone)
	if c.Gone {
		return
	}
	switch ReadOrder(c.Value).Only {
	case OnlyWorkers:
		resting[zone] = true
	case OnlyCold:
		easing[zone] = true
	default:
		emptied[zone] = true
	}
}

func (u *update) takeStore(store string, c wire.Change) {
	retired := own(u, StoreKey, &u.next.Retired)
	delete(retired, store)
	if !c.Gone {
		retired[store] = true
	}
}

func (u *update) takeWeights(pool string, c wire.Change) {
	weights, w := own(u, WeightKey, &u.next.Weights), weight.Weights{}
	delete(weights, pool)
	if !c.Gone && json.Unmarshal(c.Value, &w) == nil {
		weights[pool] = w
	}
}

func (u *update) takeShares(lane string, c wire.Change) {
	shares, one := own(u, ShareKey, &u.next.Shares), map[string]float64(nil)
	delete(shares, lane)
	if !c.Gone && json.Unmarshal(c.Value, &one) == nil {
		shares[lane] = one
	}
}

func (u *update) takeList(_ string, c wire.Change) {
	pool, _ := PoolOfList(c.Key)
	u.listed[pool] = true
	if u.lists[pool] == nil {
		u.lists[pool] = map[string]list{}
	}
	if c.Gone {
		delete(u.lists[pool], c.Key)
		return
	}
	read, _ := ReadWorkers(c.Value)
	u.lists[pool][c.Key] = list{c.Revision, read.Workers}
}

func (u *update) takeDuty(name string, c wire.Change) {
	pool, worker := splitDuty(name)
	own(u, DutyKey, &u.next.Duties)
	duties := u.next.Duties[pool]
	if duties == nil {
		duties = map[string]Held{}
	}
	duties = own(u, DutyKey+pool, &duties)
	delete(duties, worker)
	var d Duty
	if !c.Gone && json.Unmarshal(c.Value, &d) == nil {
		duties[worker] = Held{d, c.Revision}
	}
	u.next.Duties[pool] = duties
	if len(duties) == 0 {
		delete(u.next.Duties, pool)
		delete(u.isOwn, DutyKey+pool)
	}
}

// finish puts the lists of pools together that have changed.
func (u *update) finish() {
	if len(u.listed) == 0 {
		return
	}
	workers := own(u, WorkersKey, &u.next.Workers)
	for name := range u.listed {
		delete(workers, name)
		if p := u.next.Rules.Pools[name]; p.IsEndpoint {
			workers[name] = map[string]Worker{Endpoint: {Name: Endpoint, Address: p.Address, State: "live"}}
		} else if len(u.lists[name]) > 0 {
			workers[name] = joined(u.lists[name])
		} else {
			delete(u.lists, name)
		}
	}
}

// joined returns the workers of a pool's keys. One that stands in two is as in the newer.
func joined(keys map[string]list) map[string]Worker {
	lists, size := slices.Collect(maps.Values(keys)), 0
	slices.SortFunc(lists, func(a, b list) int { return int(a.revision - b.revision) })
	for _, l := range lists {
		size += len(l.workers)
	}
	out := make(map[string]Worker, size)
	for _, l := range lists {
		for _, w := range l.workers {
			out[w.Name] = w
		}
	}
	return out
}
