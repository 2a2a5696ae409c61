package feed

import (
	"slices"
	"sort"

	"caperwheel/internal/wire"
)

// trail keeps the newest change of each key, and the keys in the order of their
// revisions, so that what lies behind a revision is found without a look at the rest.
//
// Invariants: order grows in its revisions; each key's newest revision stands in it;
// an entry whose revision is not its key's newest is void, and at most about half
// of the entries are.
type changeLog struct {
	newest  map[string]wire.Change
	entries []logEntry
}

type logEntry struct {
	revision int64
	key      string
}

func newChangeLog() changeLog { return changeLog{newest: map[string]wire.Change{}} }

// put takes a change in that is newer than all before it.
func (t *changeLog) put(c wire.Change) {
	t.newest[c.Key] = c
	t.entries = append(t.entries, logEntry{c.Revision, c.Key})
	if len(t.entries) > 2*len(t.newest)+newsChangesLimit {
		t.entries = slices.DeleteFunc(t.entries, func(m logEntry) bool { return t.newest[m.key].Revision != m.revision })
	}
}

// load takes a whole state in, in any order.
func (t *changeLog) load(changes []wire.Change) {
	sorted := slices.SortedFunc(slices.Values(changes), func(a, b wire.Change) int { return int(a.Revision - b.Revision) })
	for _, c := range sorted {
		t.put(c)
	}
}

// since returns the changes behind a revision in order, at most so many; isAll
// tells whether there are no more.
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

// newsSince gives the news of a part behind a revision, up to its newest revision.
func (t *changeLog) newsSince(part, from, newest int64) (news wire.PartNews, isNewest bool) {
	changes, isAll := t.since(from, newsChangesLimit)
	news = wire.PartNews{Part: part, From: from, To: newest, Age: -1, Changes: changes}
	if !isAll {
		news.To = changes[len(changes)-1].Revision
		return news, false
	}
	return news, from <= newest
}
