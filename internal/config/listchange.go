package config

import (
	"maps"
	"slices"

	"caperwheel/internal/wire"
)

// list is what one key has of a pool's list.
type bucket struct {
	revision          int64
	workers           []Worker
	hasOnlyOwnWorkers bool // each of its workers belongs to this key, as the key tells it
}

// listChange is what has changed of a pool's list.
type listChange struct {
	needsRebuild bool              // the list is put together anew
	previous     map[string]bucket // by key that has changed: as it was
}

// list notes that a pool's list changes.
func (u *updater) listChangeOf(pool string) *listChange {
	if u.listChanges[pool] == nil {
		u.listChanges[pool] = &listChange{previous: map[string]bucket{}}
	}
	return u.listChanges[pool]
}

func (u *updater) applyList(_ string, c wire.Change) {
	pool, _ := ParseListKey(c.Key)
	change := u.listChangeOf(pool)
	if u.buckets[pool] == nil {
		u.buckets[pool] = map[string]bucket{}
	}
	if _, isNoted := change.previous[c.Key]; !isNoted {
		change.previous[c.Key] = u.buckets[pool][c.Key]
	}
	if c.Gone {
		delete(u.buckets[pool], c.Key)
		return
	}
	read, _ := ReadWorkers(c.Value)
	u.buckets[pool][c.Key] = bucket{c.Revision, read.Workers, holdsOnlyOwnWorkers(pool, c.Key, read.Workers)}
}

// holdsOnlyOwnWorkers reports whether each worker belongs to this key, and so can stand in no other key of
// a list that is cut in the same way.
func holdsOnlyOwnWorkers(pool, key string, workers []Worker) bool {
	_, count := ParseListKey(key)
	return !slices.ContainsFunc(workers, func(w Worker) bool { return BucketKey(pool, BucketOf(w.Name, count), count) != key })
}

// finishLists puts the lists of pools together that have changed.
func (u *updater) finishLists() {
	for name, change := range u.listChanges {
		workers := cloneOnce(u, WorkersKey, &u.next.Workers)
		if p := u.next.Rules.Pools[name]; p.IsEndpoint {
			workers[name] = TableOf(map[string]Worker{EndpointWorker: {Name: EndpointWorker, Address: p.Address, State: "live"}})
			continue
		}
		if len(u.buckets[name]) == 0 {
			delete(u.buckets, name)
			delete(workers, name)
			continue
		}
		if !change.needsRebuild && areDisjoint(change.previous, u.buckets[name]) {
			workers[name] = applyBucketChanges(workers[name], change.previous, u.buckets[name])
		} else {
			workers[name] = mergeBuckets(u.buckets[name])
		}
	}
}

// areDisjoint reports whether no worker can stand in two of the keys.
func areDisjoint(before, now map[string]bucket) bool {
	first := 0
	for _, keys := range []map[string]bucket{before, now} {
		for key, l := range keys {
			if len(l.workers) == 0 {
				continue
			}
			_, count := ParseListKey(key)
			if first == 0 {
				first = count
			}
			if count != first || !l.hasOnlyOwnWorkers {
				return false
			}
		}
	}
	return true
}

// applyBucketChanges returns a pool's workers after keys have changed from what they were before, where no
// worker stands in two keys.
func applyBucketChanges(workers Table[Worker], before, now map[string]bucket) Table[Worker] {
	change := workers.builder()
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
	return change.build()
}

// mergeBuckets returns the workers of a pool's keys. One that stands in two is as in the newer.
func mergeBuckets(keys map[string]bucket) Table[Worker] {
	lists := slices.Collect(maps.Values(keys))
	slices.SortFunc(lists, func(a, b bucket) int { return int(a.revision - b.revision) })
	change := Table[Worker]{}.builder()
	for _, l := range lists {
		for _, w := range l.workers {
			change.set(w.Name, w)
		}
	}
	return change.build()
}
