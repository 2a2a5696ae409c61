package feed

import (
	"iter"
	"math"
	"strings"
	"sync"
	"time"

	"caperwheel/internal/wire"
)

// View is a daemon's copy of the control state. It is safe for concurrent use.
//
// Invariants: the revision of a part never decreases; confirmedAt never decreases, and is a time of this daemon's own
// clock at or after which the part's owner confirmed, through a majority, that no newer change had been acknowledged.
type View struct {
	mu      sync.RWMutex
	parts   map[int64]*partView
	count   int
	version int64 // increases with every update that changes a key, for caches
}

// partView is the copy of one part.
type partView struct {
	revision    int64
	confirmedAt time.Duration
	isConfirmed bool
	changes     changeLog
}

// NewView returns an empty view of the configuration part and count other parts.
func NewView(count int) *View {
	v := &View{parts: map[int64]*partView{}, count: count}
	for part := range int64(count) + 1 {
		v.parts[part] = &partView{changes: newChangeLog()}
	}
	return v
}

// Revisions returns the revision of each part that the view has, for the next poll.
func (v *View) Revisions() []wire.PartRevision {
	v.mu.RLock()
	defer v.mu.RUnlock()
	out := []wire.PartRevision{}
	for part := range int64(v.count) + 1 {
		out = append(out, wire.PartRevision{Part: part, Revision: v.parts[part].revision})
	}
	return out
}

// Update applies the changes of an answer, and reports whether a key has changed. askedAt is when they were
// requested, by this daemon's own clock: the answer was confirmed at that time or later, less the age that it states.
func (v *View) Update(news []wire.PartNews, askedAt time.Duration) (isChanged bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	for _, n := range news {
		p := v.parts[n.Part]
		if p == nil || n.From > p.revision || n.To < p.revision {
			continue // an older state, or a gap between the revisions: not applicable
		}
		for _, c := range n.Changes {
			if c.Revision > p.revision {
				p.changes.put(c)
				isChanged = true
			}
		}
		p.revision = n.To
		if n.Age >= 0 {
			p.confirm(askedAt - time.Duration(n.Age)*time.Microsecond)
		}
	}
	if isChanged {
		v.version++
	}
	return isChanged
}

// confirm records a time as of which the copy of the part was current. The first one may be before the daemon's start,
// where its clock is negative.
func (p *partView) confirm(at time.Duration) {
	if !p.isConfirmed || at > p.confirmedAt {
		p.confirmedAt, p.isConfirmed = at, true
	}
}

// Age returns the age of the oldest confirmation of all parts; false while a part has none.
func (v *View) Age(now time.Duration) (time.Duration, bool) {
	v.mu.RLock()
	defer v.mu.RUnlock()
	oldest := time.Duration(0)
	for _, p := range v.parts {
		if !p.isConfirmed {
			return 0, false
		}
		oldest = max(oldest, now-p.confirmedAt)
	}
	return oldest, true
}

// IsFresh reports whether every part was confirmed within the bound, so that the daemon may act on the view.
func (v *View) IsFresh(now, bound time.Duration) bool {
	age, isSure := v.Age(now)
	return isSure && age <= bound
}

// News returns the changes after the given revisions for other daemons. The age in the answer includes the age of this
// view, so that a chain of daemons never confirms more than the owner did.
func (v *View) News(revisions []wire.PartRevision, now time.Duration) []wire.PartNews {
	v.mu.RLock()
	defer v.mu.RUnlock()
	out := []wire.PartNews{}
	for _, s := range revisions {
		p := v.parts[s.Part]
		if p == nil || s.Revision > p.revision {
			continue
		}
		news, isNewest := p.changes.newsSince(s.Part, s.Revision, p.revision)
		if p.isConfirmed && isNewest {
			news.Age = max(0, int64((now-p.confirmedAt)/time.Microsecond))
		}
		out = append(out, news)
	}
	return out
}

// Get returns the newest change of a key of a part; false if the key does not exist or has been deleted.
func (v *View) Get(part int64, key string) (wire.Change, bool) {
	v.mu.RLock()
	defer v.mu.RUnlock()
	c, isKnown := v.parts[part].changes.newest[key]
	return c, isKnown && !c.Gone
}

// Size returns the number of keys in the view, and the number of bytes of keys, values and authors.
func (v *View) Size() (keys, bytes int) {
	v.mu.RLock()
	defer v.mu.RUnlock()
	for _, p := range v.parts {
		keys += len(p.changes.newest)
		for key, c := range p.changes.newest {
			bytes += len(key) + len(c.Value) + len(c.By)
		}
	}
	return keys, bytes
}

// Version returns a number that increases with every update that changes a key, so that callers can cache results.
func (v *View) Version() int64 {
	v.mu.RLock()
	defer v.mu.RUnlock()
	return v.version
}

// Revision returns the revision of a part that the view has.
func (v *View) Revision(part int64) int64 {
	v.mu.RLock()
	defer v.mu.RUnlock()
	return v.parts[part].revision
}

// ChangesSince returns all changes after the given revisions, including deletions, in the order of their revisions
// within each part, and the revisions that they reach. Of a part that is not given it returns all changes.
func (v *View) ChangesSince(revisions map[int64]int64) (changes []wire.Change, reached map[int64]int64) {
	v.mu.RLock()
	defer v.mu.RUnlock()
	reached = map[int64]int64{}
	for part := range int64(v.count) + 1 {
		p := v.parts[part]
		more, _ := p.changes.since(revisions[part], math.MaxInt)
		changes = append(changes, more...)
		reached[part] = p.revision
	}
	return changes, reached
}

// Keys iterates over a snapshot of the keys with a prefix in all parts, without deleted ones.
func (v *View) Keys(prefix string) iter.Seq2[int64, wire.Change] {
	type row struct {
		part   int64
		change wire.Change
	}
	rows := []row{}
	v.mu.RLock()
	for part, p := range v.parts {
		for key, c := range p.changes.newest {
			if strings.HasPrefix(key, prefix) && !c.Gone {
				rows = append(rows, row{part, c})
			}
		}
	}
	v.mu.RUnlock()
	return func(yield func(int64, wire.Change) bool) {
		for _, r := range rows {
			if !yield(r.part, r.change) {
				return
			}
		}
	}
}
