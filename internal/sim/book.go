package sim

import (
	"fmt"

	"github.com/tidwall/gjson"

	"caperwheel/internal/config"
	"caperwheel/internal/feed"
	"caperwheel/internal/linearize"
	"caperwheel/internal/timing"
	"caperwheel/internal/wire"
)

// book records what really happened in a deployment and judges what daemons
// and operators were told by it.
//
// Invariants: history has for each group and revision the one edit that any
// replica has applied there; acks grow in their revisions' moments.
type book struct {
	w         *World
	history   map[int64]map[int64]string
	taken     map[string]int64 // digest of an order -> its revision
	newest    int64            // highest revision of the configuration that was acknowledged
	acks      []ackedEdit
	confirmed map[int64]string // version -> digest of the order confirmed under it
	refused   map[string]bool
	kept      map[int64]map[string]bool // acknowledged keys of the places
	calls     []linearize.Operation
	broken    []string
}

func newBook(w *World) *book {
	return &book{w: w, history: map[int64]map[int64]string{}, taken: map[string]int64{}, confirmed: map[int64]string{},
		refused: map[string]bool{}, kept: map[int64]map[string]bool{}}
}

const mostBroken = 50

func (b *book) breach(form string, args ...any) {
	text := fmt.Sprintf(form, args...)
	b.w.Note("BROKEN %s", text)
	if len(b.broken) < mostBroken {
		b.broken = append(b.broken, fmt.Sprintf("%8.3fs %s", b.w.now.Seconds(), text))
	}
}

// digestOf reads the order out of a configuration that the simulation made.
func digestOf(doc []byte) string { return gjson.GetBytes(doc, "note").Str }

// applied notes what a replica applied: all must apply the same.
func (b *book) applied(s *storeProcess, id, revision int64, e wire.Edit) {
	edit := e.Key + " by " + e.By
	if b.history[id] == nil {
		b.history[id] = map[int64]string{}
	}
	if was, isKnown := b.history[id][revision]; isKnown && was != edit {
		b.breach("group %d has two histories: %s applied %q at %d, another %q", id, s.name, edit, revision, was)
	}
	b.history[id][revision] = edit
	if id == feed.ConfigPart && e.Key == config.DocumentKey {
		digest := digestOf(e.Value)
		if was, isKnown := b.taken[digest]; isKnown && was != revision {
			b.breach("order %s was taken twice, at %d and at %d", digest, was, revision)
		}
		b.taken[digest] = revision
		if b.refused[digest] {
			b.breach("order %s is taken, though it was refused", digest)
		}
	}
}

// confirm notes that a manager has said yes to an order.
func (b *book) confirm(o *order) {
	revision, isTaken := b.taken[o.digest]
	if !isTaken {
		b.breach("order %s of version %d is confirmed and was never taken", o.digest, o.version)
		return
	}
	if was, isKnown := b.confirmed[o.version]; isKnown && was != o.digest {
		b.breach("two orders are confirmed under number %d: %s and %s", o.version, was, o.digest)
	}
	b.confirmed[o.version] = o.digest
	b.w.Note("order %s of version %d is confirmed", o.digest, o.version)
	b.newest = max(b.newest, revision)
	b.acks = append(b.acks, ackedEdit{revision: revision, at: b.w.now, base: o.base})
}

// refuse notes that a manager has said no.
func (b *book) refuse(o *order, err error) {
	b.refused[o.digest] = true
	if revision, isTaken := b.taken[o.digest]; isTaken {
		b.breach("order %s (version %d on %d) was taken at %d and is refused on a re-send: %v", o.digest, o.version, o.base, revision, err)
	}
}

// read judges a read that began when the newest acknowledged revision was since.
func (b *book) read(by string, revision, since int64) {
	if revision < since {
		b.breach("%s reads the configuration of %d, though %d was acknowledged before", by, revision, since)
	}
}

// seen judges a daemon's view after news.
func (b *book) seen(p *process) {
	revision := p.view.Revision(feed.ConfigPart)
	if revision < p.newest {
		b.breach("the view of %s goes back from %d to %d", p.name, p.newest, revision)
	}
	p.newest = revision
	c, isKnown := p.view.Get(feed.ConfigPart, config.DocumentKey)
	if edit := b.history[feed.ConfigPart][c.Revision]; isKnown && edit != c.Key+" by "+c.By {
		b.breach("the view of %s has %q at %d, the history %q", p.name, c.By, c.Revision, edit)
	}
}

// acts judges a daemon that acts now: all that was acknowledged longer ago than
// the bound must be known to it.
func (b *book) acts(p *process) {
	revision := p.view.Revision(feed.ConfigPart)
	for i := len(b.acks) - 1; i >= 0 && b.w.now-b.acks[i].at < 3*timing.Default.ConfigApply; i-- {
		if e := b.acks[i]; b.w.now-e.at > timing.Default.ConfigApply && revision < e.revision {
			b.breach("%s acts on stamp %d, though %d was acknowledged %v ago", p.name, revision, e.revision, b.w.now-e.at)
			return
		}
	}
}

// keep notes an acknowledged key of a place.
func (b *book) keep(id int64, key string) {
	if b.kept[id] == nil {
		b.kept[id] = map[string]bool{}
	}
	b.kept[id][key] = true
}

// judge holds the operators' calls against the model of one machine.
func (b *book) judge() {
	if len(b.broken) > 0 {
		return // said already, and clearer
	}
	if isOk, text := linearize.Check(b.calls); !isOk {
		b.breach("the operators' calls are not linearizable: %s", text)
	}
}
