package feed

import (
	"iter"
	"math"
	"strings"
	"sync"
	"time"

	"caperwheel/internal/wire"
)

// View is what a daemon knows of the control state. It is safe for many
// goroutines.
//
// Invariants: a part's revision never goes back; confirmedAt only moves forward, and
// is a moment by this daemon's own clock at or after which the part's owner
// confirmed, through a majority, that nothing newer had been acknowledged.
type View struct {
	mu      sync.RWMutex
	parts   map[int64]*partView
	count   int
	version int64 // grows with every change, for those that cache
}

type partView struct {
	revision    int64
	confirmedAt time.Duration
	isConfirmed bool
	changes     changeLog
}

// NewView gives an empty view that follows the configuration part and count others.
func NewView(count int) *View {
	v := &View{parts: map[int64]*partView{}, count: count}
	for part := range int64(count) + 1 {
		v.parts[part] = &partView{changes: newChangeLog()}
	}
	return v
}

// Revisions reports how far the view has come, for the next poll.
func (v *View) Revisions() []wire.PartRevision {
	v.mu.RLock()
	defer v.mu.RUnlock()
	out := []wire.PartRevision{}
	for part := range int64(v.count) + 1 {
		out = append(out, wire.PartRevision{Part: part, Revision: v.parts[part].revision})
	}
	return out
}

// Update brings news in. askedAt is when they were asked for, by our own clock:
// what the answer confirms was true then or later, less its age.
func (v *View) Update(news []wire.PartNews, askedAt time.Duration) (isChanged bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	for _, n := range news {
		p := v.parts[n.Part]
		if p == nil || n.From > p.revision || n.To < p.revision {
			continue // another history, or a gap: never go back, never guess
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

// confirm notes a moment as of which the part was the newest. The first one may
// lie before the daemon's own start, where its clock is below 0.
func (p *partView) confirm(at time.Duration) {
	if !p.isConfirmed || at > p.confirmedAt {
		p.confirmedAt, p.isConfirmed = at, true
	}
}

// Age reports how old the oldest part's confirmation is; false before the first.
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

// IsFresh reports whether the daemon may act: every part was confirmed within
// the bound.
func (v *View) IsFresh(now, bound time.Duration) bool {
	age, isSure := v.Age(now)
	return isSure && age <= bound
}

// News passes on what this view has, with its own age: no hop ever confirms
// more than it was told itself.
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

// Get returns a key of a part.
func (v *View) Get(part int64, key string) (wire.Change, bool) {
	v.mu.RLock()
	defer v.mu.RUnlock()
	c, isKnown := v.parts[part].changes.newest[key]
	return c, isKnown && !c.Gone
}

// Size reports how many keys the view has and how many bytes they and their
// values are.
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

// Version grows with every change.
func (v *View) Version() int64 {
	v.mu.RLock()
	defer v.mu.RUnlock()
	return v.version
}

// Revision is the sum of all parts' revisions, a measure of how far the view is.
func (v *View) Revision(part int64) int64 {
	v.mu.RLock()
	defer v.mu.RUnlock()
	return v.parts[part].revision
}

// ChangesSince returns all changes behind the given revisions of parts, gone keys too, in the order of
// their revisions within a part, and the revisions that they reach. A part that is not given is
// returned whole.
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

// Keys iterates over a snapshot of the standing keys with a prefix, of all parts.
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
