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
type oracle struct {
	w           *World
	history     map[int64]map[int64]string
	committed   map[string]int64 // digest of an order -> its revision
	newestAcked int64            // highest revision of the configuration that was acknowledged
	acks        []ackedEdit
	confirmed   map[int64]string // version -> digest of the order confirmed under it
	refused     map[string]bool
	ackedKeys   map[int64]map[string]bool // acknowledged keys of the places
	operations  []linearize.Operation
	breaches    []string
}

func newOracle(w *World) *oracle {
	return &oracle{w: w, history: map[int64]map[int64]string{}, committed: map[string]int64{}, confirmed: map[int64]string{},
		refused: map[string]bool{}, ackedKeys: map[int64]map[string]bool{}}
}

const maxBreaches = 50

func (b *oracle) recordBreach(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	b.w.Tracef("BROKEN %s", text)
	if len(b.breaches) < maxBreaches {
		b.breaches = append(b.breaches, fmt.Sprintf("%8.3fs %s", b.w.now.Seconds(), text))
	}
}

// orderDigest reads the order out of a configuration that the simulation made.
func orderDigest(doc []byte) string { return gjson.GetBytes(doc, "note").Str }

// recordApplied notes what a replica applied: all must apply the same.
func (b *oracle) recordApplied(s *storeProcess, id, revision int64, e wire.Edit) {
	edit := e.Key + " by " + e.By
	if b.history[id] == nil {
		b.history[id] = map[int64]string{}
	}
	if was, isKnown := b.history[id][revision]; isKnown && was != edit {
		b.recordBreach("group %d has two histories: %s applied %q at %d, another %q", id, s.name, edit, revision, was)
	}
	b.history[id][revision] = edit
	if id == feed.ConfigPart && e.Key == config.DocumentKey {
		digest := orderDigest(e.Value)
		if was, isKnown := b.committed[digest]; isKnown && was != revision {
			b.recordBreach("order %s was taken twice, at %d and at %d", digest, was, revision)
		}
		b.committed[digest] = revision
		if b.refused[digest] {
			b.recordBreach("order %s is taken, though it was refused", digest)
		}
	}
}

// recordConfirmed notes that a manager has said yes to an order.
func (b *oracle) recordConfirmed(o *order) {
	revision, isTaken := b.committed[o.digest]
	if !isTaken {
		b.recordBreach("order %s of version %d is confirmed and was never taken", o.digest, o.version)
		return
	}
	if was, isKnown := b.confirmed[o.version]; isKnown && was != o.digest {
		b.recordBreach("two orders are confirmed under number %d: %s and %s", o.version, was, o.digest)
	}
	b.confirmed[o.version] = o.digest
	b.w.Tracef("order %s of version %d is confirmed", o.digest, o.version)
	b.newestAcked = max(b.newestAcked, revision)
	b.acks = append(b.acks, ackedEdit{revision: revision, at: b.w.now, base: o.base})
}

// recordRefused notes that a manager has said no.
func (b *oracle) recordRefused(o *order, err error) {
	b.refused[o.digest] = true
	if revision, isTaken := b.committed[o.digest]; isTaken {
		b.recordBreach("order %s (version %d on %d) was taken at %d and is refused on a re-send: %v", o.digest, o.version, o.base, revision, err)
	}
}

// checkRead judges a read that began when the newest acknowledged revision was since.
func (b *oracle) checkRead(by string, revision, since int64) {
	if revision < since {
		b.recordBreach("%s reads the configuration of %d, though %d was acknowledged before", by, revision, since)
	}
}

// checkView judges a daemon's view after news.
func (b *oracle) checkView(p *process) {
	revision := p.view.Revision(feed.ConfigPart)
	if revision < p.newestRevision {
		b.recordBreach("the view of %s goes back from %d to %d", p.name, p.newestRevision, revision)
	}
	p.newestRevision = revision
	c, isKnown := p.view.Get(feed.ConfigPart, config.DocumentKey)
	if edit := b.history[feed.ConfigPart][c.Revision]; isKnown && edit != c.Key+" by "+c.By {
		b.recordBreach("the view of %s has %q at %d, the history %q", p.name, c.By, c.Revision, edit)
	}
}

// checkAct judges a daemon that acts now: all that was acknowledged longer ago than
// the bound must be known to it.
func (b *oracle) checkAct(p *process) {
	revision := p.view.Revision(feed.ConfigPart)
	for i := len(b.acks) - 1; i >= 0 && b.w.now-b.acks[i].at < 3*timing.Default.ConfigApply; i-- {
		if e := b.acks[i]; b.w.now-e.at > timing.Default.ConfigApply && revision < e.revision {
			b.recordBreach("%s acts on stamp %d, though %d was acknowledged %v ago", p.name, revision, e.revision, b.w.now-e.at)
			return
		}
	}
}

// recordKey notes an acknowledged key of a place.
func (b *oracle) recordKey(id int64, key string) {
	if b.ackedKeys[id] == nil {
		b.ackedKeys[id] = map[string]bool{}
	}
	b.ackedKeys[id][key] = true
}

// judge holds the operators' calls against the model of one machine.
func (b *oracle) checkOperations() {
	if len(b.breaches) > 0 {
		return // said already, and clearer
	}
	if isOk, text := linearize.Check(b.operations); !isOk {
		b.recordBreach("the operators' calls are not linearizable: %s", text)
	}
}
