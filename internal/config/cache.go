package config

import (
	"encoding/json"
	"maps"
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
	return &Compiled{Workers: map[string]Table[Worker]{}, Duties: map[string]Table[Held]{},
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
	u := update{next: &next, lists: s.lists, isOwn: map[string]bool{}, listed: map[string]*listChange{}, duties: map[string]*tableChange[Held]{}}
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
	isOwn  map[string]bool               // what has been copied
	listed map[string]*listChange        // by pool whose list has changed
	duties map[string]*tableChange[Held] // by pool
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
	before := u.next.Rules.Pools
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
	for _, pools := range []map[string]Pool{before, rules.Pools} {
		for name := range pools {
			if endpointOf(before[name]) != endpointOf(rules.Pools[name]) {
				u.list(name).isWhole = true
			}
		}
	}
}

// endpointOf returns all that rules say of a pool's list: the address of an endpoint, and nothing for others.
func endpointOf(p Pool) string {
	if !p.IsEndpoint {
		return ""
	}
	return p.Address
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

func (u *update) takeDuty(name string, c wire.Change) {
	pool, worker := splitDuty(name)
	if u.duties[pool] == nil {
		u.duties[pool] = u.next.Duties[pool].change()
	}
	var d Duty
	if !c.Gone && json.Unmarshal(c.Value, &d) == nil {
		u.duties[pool].set(worker, Held{d, c.Revision})
		return
	}
	u.duties[pool].remove(worker)
}

// finish puts together what has changed.
func (u *update) finish() {
	u.finishLists()
	for pool, change := range u.duties {
		duties := own(u, DutyKey, &u.next.Duties)
		if duties[pool] = change.done(); duties[pool].Len() == 0 {
			delete(duties, pool)
		}
	}
}
