package config

import (
	"maps"
	"slices"

	"caperwheel/internal/wire"
)

// list is what one key has of a pool's list.
type list struct {
	revision int64
	workers  []Worker
	isInside bool // each of its workers belongs to this key, as the key tells it
}

// listChange is what has changed of a pool's list.
type listChange struct {
	isWhole bool            // the list is put together anew
	before  map[string]list // by key that has changed: as it was
}

// list notes that a pool's list changes.
func (u *update) list(pool string) *listChange {
	if u.listed[pool] == nil {
		u.listed[pool] = &listChange{before: map[string]list{}}
	}
	return u.listed[pool]
}

func (u *update) takeList(_ string, c wire.Change) {
	pool, _ := PoolOfList(c.Key)
	change := u.list(pool)
	if u.lists[pool] == nil {
		u.lists[pool] = map[string]list{}
	}
	if _, isNoted := change.before[c.Key]; !isNoted {
		change.before[c.Key] = u.lists[pool][c.Key]
	}
	if c.Gone {
		delete(u.lists[pool], c.Key)
		return
	}
	read, _ := ReadWorkers(c.Value)
	u.lists[pool][c.Key] = list{c.Revision, read.Workers, areInside(pool, c.Key, read.Workers)}
}

// areInside reports whether each worker belongs to this key, and so can stand in no other key of
// a list that is cut in the same way.
func areInside(pool, key string, workers []Worker) bool {
	_, count := PoolOfList(key)
	return !slices.ContainsFunc(workers, func(w Worker) bool { return BucketKey(pool, BucketOf(w.Name, count), count) != key })
}

// finishLists puts the lists of pools together that have changed.
func (u *update) finishLists() {
	for name, change := range u.listed {
		workers := own(u, WorkersKey, &u.next.Workers)
		if p := u.next.Rules.Pools[name]; p.IsEndpoint {
			workers[name] = TableOf(map[string]Worker{Endpoint: {Name: Endpoint, Address: p.Address, State: "live"}})
			continue
		}
		if len(u.lists[name]) == 0 {
			delete(u.lists, name)
			delete(workers, name)
			continue
		}
		if !change.isWhole && areApart(change.before, u.lists[name]) {
			workers[name] = changed(workers[name], change.before, u.lists[name])
		} else {
			workers[name] = joined(u.lists[name])
		}
	}
}

// areApart reports whether no worker can stand in two of the keys.
func areApart(before, now map[string]list) bool {
	first := 0
	for _, keys := range []map[string]list{before, now} {
		for key, l := range keys {
			if len(l.workers) == 0 {
				continue
			}
			_, count := PoolOfList(key)
			if first == 0 {
				first = count
			}
			if count != first || !l.isInside {
				return false
			}
		}
	}
	return true
}

// changed returns a pool's workers after keys have changed from what they were before, where no
// worker stands in two keys.
func changed(workers Table[Worker], before, now map[string]list) Table[Worker] {
	change := workers.change()
	for _, key := range slices.Sorted(maps.Keys(before)) {
		for _, w := range before[key].workers {
			change.remove(w.Name)
		}
	}
	for _, key := range slices.Sorted(maps.Keys(before)) {
		for _, w := range now[key].workers {
			change.set(w.Name, w)
		}
	}
	return change.done()
}

// joined returns the workers of a pool's keys. One that stands in two is as in the newer.
func joined(keys map[string]list) Table[Worker] {
	lists := slices.Collect(maps.Values(keys))
	slices.SortFunc(lists, func(a, b list) int { return int(a.revision - b.revision) })
	change := Table[Worker]{}.change()
	for _, l := range lists {
		for _, w := range l.workers {
			change.set(w.Name, w)
		}
	}
	return change.done()
}
