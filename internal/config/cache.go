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

// Cache holds the compiled configuration of a view. Each update compiles only what has changed in the
// view and shares the rest with the previous Compiled, since lists and duties may be long. It is safe
// for concurrent use.
//
// Invariants: compiled includes all changes up to compiledUpTo, and is never written once it was
// returned; buckets has each existing key of the pools' lists.
type Cache struct {
	View *feed.View // the view that is compiled

	mu           sync.Mutex
	viewVersion  int64
	compiled     *Compiled
	compiledUpTo map[int64]int64              // revision, by part
	buckets      map[string]map[string]bucket // by pool and key
}

// Current returns the compiled configuration of the view's present state.
func (s *Cache) Current() *Compiled {
	s.mu.Lock()
	defer s.mu.Unlock()
	version := s.View.Version()
	if s.compiled == nil || version != s.viewVersion {
		s.advance()
		s.viewVersion = version
	}
	return s.compiled
}

// CanRead reports whether this build can read the newest configuration. A daemon that cannot must stop
// working, like one with a stale view, rather than treat every lane as removed.
func (s *Cache) CanRead() bool { return !s.Current().IsUnreadable }

func newCompiled() *Compiled {
	return &Compiled{Workers: map[string]Table[Worker]{}, Duties: map[string]Table[AssignedDuty]{},
		DrainedZones: map[string]bool{}, WorkerDrainedZones: map[string]bool{}, ColdZones: map[string]bool{}, RetiredStores: map[string]bool{},
		Weights: map[string]weight.Weights{}, Shares: map[string]map[string]float64{},
		Rules: &Rules{Lanes: map[string]Lane{}, Pools: map[string]Pool{}}}
}

// advance compiles the changes of the view since compiledUpTo.
func (s *Cache) advance() {
	if s.compiled == nil {
		s.compiled, s.buckets = newCompiled(), map[string]map[string]bucket{}
	}
	changes, reached := s.View.ChangesSince(s.compiledUpTo)
	next := *s.compiled
	u := updater{next: &next, buckets: s.buckets, isCloned: map[string]bool{}, listChanges: map[string]*listChange{}, dutyChanges: map[string]*tableBuilder[AssignedDuty]{}}
	for _, c := range changes {
		u.apply(c)
	}
	u.finish()
	s.compiled, s.compiledUpTo = &next, reached
}

// updater derives the next Compiled from the previous one. Each map is copied before its first write.
type updater struct {
	next        *Compiled
	buckets     map[string]map[string]bucket
	isCloned    map[string]bool                        // maps that have been copied
	listChanges map[string]*listChange                 // by pool, for lists that have changed
	dutyChanges map[string]*tableBuilder[AssignedDuty] // by pool
}

// cloneOnce returns a map that may be written: a copy of the previous one, made at the first call.
func cloneOnce[V any](u *updater, name string, m *map[string]V) map[string]V {
	if !u.isCloned[name] {
		u.isCloned[name] = true
		*m = maps.Clone(*m)
	}
	return *m
}

// changeHandlers apply a change by the prefix of its key. No prefix is a prefix of another one.
var changeHandlers = []struct {
	prefix string
	apply  func(u *updater, name string, c wire.Change)
}{
	{DutyKey, (*updater).applyDuty},
	{WorkersKey, (*updater).applyList},
	{ZoneKey, (*updater).applyZone},
	{StoreKey, (*updater).applyStore},
	{WeightKey, (*updater).applyWeights},
	{ShareKey, (*updater).applyShares},
}

// apply applies one change.
func (u *updater) apply(c wire.Change) {
	if c.Key == DocumentKey {
		u.applyRules(c)
		return
	}
	for _, t := range changeHandlers {
		if name, hasPrefix := strings.CutPrefix(c.Key, t.prefix); hasPrefix {
			t.apply(u, name, c)
			return
		}
	}
}

// applyRules compiles a new document. A document with faults leaves no rules and IsUnreadable set.
func (u *updater) applyRules(c wire.Change) {
	before := u.next.Rules.Pools
	u.next.Revision, u.next.IsUnreadable = c.Revision, false
	rules, faults := Compile(c.Value)
	if len(faults) > 0 || c.Gone {
		rules = &Rules{Lanes: map[string]Lane{}, Pools: map[string]Pool{}}
		u.next.IsUnreadable = !c.Gone
	}
	if c.Gone {
		u.next.Revision = 0
	}
	u.next.Rules = rules
	for _, pools := range []map[string]Pool{before, rules.Pools} {
		for name := range pools {
			if endpointAddress(before[name]) != endpointAddress(rules.Pools[name]) {
				u.listChangeOf(name).needsRebuild = true
			}
		}
	}
}

// endpointAddress returns the only setting of a pool that its list depends on: the address of an
// endpoint; empty for other pools.
func endpointAddress(p Pool) string {
	if !p.IsEndpoint {
		return ""
	}
	return p.Address
}

func (u *updater) applyZone(zone string, c wire.Change) {
	drained, workerDrained, cold := cloneOnce(u, ZoneKey, &u.next.DrainedZones), cloneOnce(u, "resting", &u.next.WorkerDrainedZones), cloneOnce(u, "easing", &u.next.ColdZones)
	delete(drained, zone)
	delete(workerDrained, zone)
	delete(cold, zone)
	if c.Gone {
		return
	}
	switch ParseDrainOrder(c.Value).Only {
	case OnlyWorkers:
		workerDrained[zone] = true
	case OnlyCold:
		cold[zone] = true
	default:
		drained[zone] = true
	}
}

func (u *updater) applyStore(store string, c wire.Change) {
	retired := cloneOnce(u, StoreKey, &u.next.RetiredStores)
	delete(retired, store)
	if !c.Gone {
		retired[store] = true
	}
}

func (u *updater) applyWeights(pool string, c wire.Change) {
	weights, w := cloneOnce(u, WeightKey, &u.next.Weights), weight.Weights{}
	delete(weights, pool)
	if !c.Gone && json.Unmarshal(c.Value, &w) == nil {
		weights[pool] = w
	}
}

func (u *updater) applyShares(lane string, c wire.Change) {
	shares, weights := cloneOnce(u, ShareKey, &u.next.Shares), map[string]float64(nil)
	delete(shares, lane)
	if !c.Gone && json.Unmarshal(c.Value, &weights) == nil {
		shares[lane] = weights
	}
}

func (u *updater) applyDuty(name string, c wire.Change) {
	pool, worker := splitDutyName(name)
	if u.dutyChanges[pool] == nil {
		u.dutyChanges[pool] = u.next.Duties[pool].builder()
	}
	var d Duty
	if !c.Gone && json.Unmarshal(c.Value, &d) == nil {
		u.dutyChanges[pool].set(worker, AssignedDuty{d, c.Revision})
		return
	}
	u.dutyChanges[pool].remove(worker)
}

// finish builds the lists and tables that have changed.
func (u *updater) finish() {
	u.finishLists()
	for pool, change := range u.dutyChanges {
		duties := cloneOnce(u, DutyKey, &u.next.Duties)
		if duties[pool] = change.build(); duties[pool].Len() == 0 {
			delete(duties, pool)
		}
	}
}
