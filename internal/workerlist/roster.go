package workerlist

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"caperwheel/internal/config"
)

// missesToRemove is how many complete reads in a row must leave a worker out before it is taken for
// gone: an entry may move to a page that was read before while the rest is read.
const missesToRemove = 2

// Roster is what reads have told of workers, by pool and name.
//
// Invariants: a worker is taken out only by complete reads that began after it was last seen and
// that cover its zone; changed has the pools of which something has changed since Changed.
type Roster struct {
	pools   map[string]map[string]*entry
	changed map[string]map[string]bool // pool -> names, and whether the worker was told of before
}

type entry struct {
	worker config.Worker
	seenAt time.Duration
	misses int
}

// NewRoster returns an empty roster.
func NewRoster() *Roster {
	return &Roster{pools: map[string]map[string]*entry{}, changed: map[string]map[string]bool{}}
}

// Record takes in that a page told of a worker. asked is when the page was asked for.
func (r *Roster) Record(pool string, w config.Worker, asked time.Duration) {
	if r.pools[pool] == nil {
		r.pools[pool] = map[string]*entry{}
	}
	e, isKnown := r.pools[pool][w.Name]
	if !isKnown {
		e = &entry{}
		r.pools[pool][w.Name] = e
	}
	if asked < e.seenAt { // a slower call: what it tells may be older
		return
	}
	if e.worker != w {
		r.markChanged(pool, w.Name, isKnown)
	}
	e.worker, e.seenAt, e.misses = w, asked, 0
}

func (r *Roster) markChanged(pool, name string, isKnown bool) {
	if r.changed[pool] == nil {
		r.changed[pool] = map[string]bool{}
	}
	r.changed[pool][name] = r.changed[pool][name] || isKnown
}

// ReadCompleted takes in that a read of a zone's workers, or of all where the zone is empty, is
// complete, and when it began.
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

// Changed returns the names of the workers that have changed since the last call, by pool, and
// whether each was told of before: false for one that is new.
func (r *Roster) Changed() map[string]map[string]bool {
	out := r.changed
	r.changed = map[string]map[string]bool{}
	return out
}

// Requeue has workers change again that could not be written.
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

// PoolNames returns the names of all pools that workers were told of, in order.
func (r *Roster) PoolNames() []string { return slices.Sorted(maps.Keys(r.pools)) }

// Zones returns the zones of all workers.
func (r *Roster) Zones() map[string]bool {
	out := map[string]bool{}
	for _, entries := range r.pools {
		for _, e := range entries {
			out[e.worker.Zone] = true
		}
	}
	return out
}
