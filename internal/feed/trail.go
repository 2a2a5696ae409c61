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
type trail struct {
	keys  map[string]wire.Change
	order []mark
}

type mark struct {
	revision int64
	key      string
}

func newTrail() trail { return trail{keys: map[string]wire.Change{}} }

// put takes a change in that is newer than all before it.
func (t *trail) put(c wire.Change) {
	t.keys[c.Key] = c
	t.order = append(t.order, mark{c.Revision, c.Key})
	if len(t.order) > 2*len(t.keys)+newsCount {
		t.order = slices.DeleteFunc(t.order, func(m mark) bool { return t.keys[m.key].Revision != m.revision })
	}
}

// fill takes a whole state in, in any order.
func (t *trail) fill(changes []wire.Change) {
	sorted := slices.SortedFunc(slices.Values(changes), func(a, b wire.Change) int { return int(a.Revision - b.Revision) })
	for _, c := range sorted {
		t.put(c)
	}
}

// behind returns the changes behind a revision in order, at most so many; isAll
// tells whether there are no more.
func (t *trail) behind(from int64, most int) (out []wire.Change, isAll bool) {
	out = []wire.Change{}
	at := sort.Search(len(t.order), func(i int) bool { return t.order[i].revision > from })
	for _, m := range t.order[at:] {
		c := t.keys[m.key]
		if c.Revision != m.revision {
			continue
		}
		if len(out) == most {
			return out, false
		}
		out = append(out, c)
	}
	return out, true
}

// newsOf gives the news of a part behind a revision, up to its newest revision.
func (t *trail) newsOf(part, from, newest int64) (news wire.PartNews, isNewest bool) {
	changes, isAll := t.behind(from, newsCount)
	news = wire.PartNews{Part: part, From: from, To: newest, Age: -1, Changes: changes}
	if !isAll {
		news.To = changes[len(changes)-1].Revision
		return news, false
	}
	return news, from <= newest
}
