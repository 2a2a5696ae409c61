package config

import (
	"maps"
	"slices"

	"caperwheel/internal/wire"
)

// bucket is the content of one key of a pool's list.
type bucket struct {
	revision          int64
	workers           []Worker
	hasOnlyOwnWorkers bool // each worker belongs to this key by the hash of its name
}

// listChange describes what has changed in a pool's list.
type listChange struct {
	needsRebuild bool              // the list is rebuilt from all its buckets
	previous     map[string]bucket // by changed key: the bucket before the change
}

// listChangeOf returns the change of a pool's list, and adds one if there is none.
func (u *updater) listChangeOf(pool string) *listChange {
	if u.listChanges[pool] == nil {
		u.listChanges[pool] = &listChange{previous: map[string]bucket{}}
	}
	return u.listChanges[pool]
}

// applyList replaces the content of one key of a pool's list.
func (u *updater) applyList(_ string, c wire.Change) {
	pool, _ := ParseListKey(c.Key)
	change := u.listChangeOf(pool)
	if u.buckets[pool] == nil {
		u.buckets[pool] = map[string]bucket{}
	}
	if _, isRecorded := change.previous[c.Key]; !isRecorded {
		change.previous[c.Key] = u.buckets[pool][c.Key]
	}
	if c.Gone {
		delete(u.buckets[pool], c.Key)
		return
	}
	read, _ := ReadWorkers(c.Value)
	u.buckets[pool][c.Key] = bucket{c.Revision, read.Workers, holdsOnlyOwnWorkers(pool, c.Key, read.Workers)}
}

// holdsOnlyOwnWorkers reports whether each worker belongs to this key by its hash, and so cannot be in
// another key of a list with the same bucket count.
func holdsOnlyOwnWorkers(pool, key string, workers []Worker) bool {
	_, count := ParseListKey(key)
	return !slices.ContainsFunc(workers, func(w Worker) bool { return BucketKey(pool, BucketOf(w.Name, count), count) != key })
}

// finishLists builds the pools' lists that have changed.
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

// areDisjoint reports whether no worker can be in two of the keys.
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

// applyBucketChanges returns a pool's workers after the keys of before have changed to what they are in
// now. No worker may be in two keys.
func applyBucketChanges(workers Table[Worker], before, now map[string]bucket) Table[Worker] {
	builder := workers.builder()
	for _, key := range slices.Sorted(maps.Keys(before)) {
		for _, w := range before[key].workers {
			builder.remove(w.Name)
		}
	}
	for _, key := range slices.Sorted(maps.Keys(before)) {
		for _, w := range now[key].workers {
			builder.set(w.Name, w)
		}
	}
	return builder.build()
}

// mergeBuckets returns the workers of all keys of a pool. For a worker in two keys, the newer key counts.
func mergeBuckets(buckets map[string]bucket) Table[Worker] {
	sorted := slices.Collect(maps.Values(buckets))
	slices.SortFunc(sorted, func(a, b bucket) int { return int(a.revision - b.revision) })
	builder := Table[Worker]{}.builder()
	for _, l := range sorted {
		for _, w := range l.workers {
			builder.set(w.Name, w)
		}
	}
	return builder.build()
}
