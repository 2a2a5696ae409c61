package workerlist

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"caperwheel/internal/config"
)

// missesToRemove is the number of consecutive complete reads without a worker after which it is removed. It is more
// than one, since an entry may move to a page that was already read while the read is in progress.
const missesToRemove = 2

// Roster is the set of listed workers, by pool and name.
//
// Invariants: a worker is removed only by complete reads that began after it was last seen and that cover its zone;
// changed has the workers that have changed since the last call of Changed.
type Roster struct {
	pools   map[string]map[string]*entry
	changed map[string]map[string]bool // by pool and name: whether the worker was known before
}

// entry is one listed worker.
type entry struct {
	worker config.Worker
	seenAt time.Duration
	misses int
}

// NewRoster returns an empty roster.
func NewRoster() *Roster {
	return &Roster{pools: map[string]map[string]*entry{}, changed: map[string]map[string]bool{}}
}

// Record records a worker's entry on a page; requestedAt is when the page was requested.
func (r *Roster) Record(pool string, w config.Worker, requestedAt time.Duration) {
	if r.pools[pool] == nil {
		r.pools[pool] = map[string]*entry{}
	}
	e, isKnown := r.pools[pool][w.Name]
	if !isKnown {
		e = &entry{}
		r.pools[pool][w.Name] = e
	}
	if requestedAt < e.seenAt { // an older call, whose answer may be outdated
		return
	}
	if e.worker != w {
		r.markChanged(pool, w.Name, isKnown)
	}
	e.worker, e.seenAt, e.misses = w, requestedAt, 0
}

// markChanged records that a worker has changed.
func (r *Roster) markChanged(pool, name string, isKnown bool) {
	if r.changed[pool] == nil {
		r.changed[pool] = map[string]bool{}
	}
	r.changed[pool][name] = r.changed[pool][name] || isKnown
}

// ReadCompleted records a complete read that started at began, of the workers of a zone, or of all if zone is empty.
func (r *Roster) ReadCompleted(zone string, began time.Duration) {
	for pool, entries := range r.pools {
		for name, e := range entries {
			if e.seenAt >= began || zone != "" && e.worker.Zone != zone {
				continue
			}
			if e.misses++; e.misses >= missesToRemove {
				delete(entries, name)
				r.markChanged(pool, name, true)
			}
		}
	}
}

// Changed returns the names of the workers that have changed since the last call, by pool, and whether each was known
// before: false for a new one.
func (r *Roster) Changed() map[string]map[string]bool {
	out := r.changed
	r.changed = map[string]map[string]bool{}
	return out
}

// Requeue marks workers as changed again whose change could not be written.
func (r *Roster) Requeue(pool string, names map[string]bool) {
	for name, isKnown := range names {
		r.markChanged(pool, name, isKnown)
	}
}

// Pool returns a pool's workers in the order of their names.
func (r *Roster) Pool(pool string) []config.Worker {
	out := make([]config.Worker, 0, len(r.pools[pool]))
	for _, e := range r.pools[pool] {
		out = append(out, e.worker)
	}
	slices.SortFunc(out, func(a, b config.Worker) int { return cmp.Compare(a.Name, b.Name) })
	return out
}

// PoolNames returns the names of all pools with listed workers, past ones included, in order.
func (r *Roster) PoolNames() []string { return slices.Sorted(maps.Keys(r.pools)) }

// Zones returns the zones of all listed workers.
func (r *Roster) Zones() map[string]bool {
	out := map[string]bool{}
	for _, entries := range r.pools {
		for _, e := range entries {
			out[e.worker.Zone] = true
		}
	}
	return out
}
