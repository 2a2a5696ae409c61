package feed

import (
	"slices"
	"sort"

	"caperwheel/internal/wire"
)

// changeLog keeps the newest change of each key, indexed by revision, so that the changes since a revision are found
// without a scan of all keys.
//
// Invariants: the revisions of entries increase; entries has the newest revision of each key. An entry whose revision
// is not the newest of its key is obsolete; at most about half of the entries are.
type changeLog struct {
	newest  map[string]wire.Change
	entries []logEntry
}

// logEntry is a change of a key; the change itself is in newest, unless a later one has replaced it.
type logEntry struct {
	revision int64
	key      string
}

func newChangeLog() changeLog { return changeLog{newest: map[string]wire.Change{}} }

// put adds a change that is newer than all others, and removes obsolete entries once they are too many.
func (t *changeLog) put(c wire.Change) {
	t.newest[c.Key] = c
	t.entries = append(t.entries, logEntry{c.Revision, c.Key})
	if len(t.entries) > 2*len(t.newest)+newsChangesLimit {
		t.entries = slices.DeleteFunc(t.entries, func(m logEntry) bool { return t.newest[m.key].Revision != m.revision })
	}
}

// load adds the changes of a snapshot, which may be in any order.
func (t *changeLog) load(changes []wire.Change) {
	sorted := slices.SortedFunc(slices.Values(changes), func(a, b wire.Change) int { return int(a.Revision - b.Revision) })
	for _, c := range sorted {
		t.put(c)
	}
}

// since returns up to limit changes after a revision, in the order of their revisions; isAll reports whether there are
// no more.
func (t *changeLog) since(from int64, limit int) (out []wire.Change, isAll bool) {
	out = []wire.Change{}
	at := sort.Search(len(t.entries), func(i int) bool { return t.entries[i].revision > from })
	for _, m := range t.entries[at:] {
		c := t.newest[m.key]
		if c.Revision != m.revision {
			continue
		}
		if len(out) == limit {
			return out, false
		}
		out = append(out, c)
	}
	return out, true
}

// newsSince returns the changes of a part after revision from, with the revision that they reach; isNewest reports
// whether that is the newest one.
func (t *changeLog) newsSince(part, from, newest int64) (news wire.PartNews, isNewest bool) {
	changes, isAll := t.since(from, newsChangesLimit)
	news = wire.PartNews{Part: part, From: from, To: newest, Age: -1, Changes: changes}
	if !isAll {
		news.To = changes[len(changes)-1].Revision
		return news, false
	}
	return news, from <= newest
}
