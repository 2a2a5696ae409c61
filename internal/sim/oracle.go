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

// oracle records the facts of a simulated deployment and checks the views of daemons and the answers to operators
// against them.
//
// Invariants: history has, for each group and revision, the one edit that any replica applied there; acks are
// ordered by the time of the acknowledgement.
type oracle struct {
	w           *World
	history     map[int64]map[int64]string
	committed   map[string]int64 // digest of an order -> revision at which it was committed
	newestAcked int64            // highest acknowledged revision of the configuration
	acks        []ackedEdit
	confirmed   map[int64]string // version -> digest of the order that was confirmed with it
	refused     map[string]bool
	ackedKeys   map[int64]map[string]bool // place group -> acknowledged keys
	operations  []linearize.Operation
	breaches    []string
}

func newOracle(w *World) *oracle {
	return &oracle{w: w, history: map[int64]map[int64]string{}, committed: map[string]int64{}, confirmed: map[int64]string{},
		refused: map[string]bool{}, ackedKeys: map[int64]map[string]bool{}}
}

// maxBreaches bounds how many breaches a run records.
const maxBreaches = 50

// recordBreach notes a broken rule in the trace and the list of breaches.
func (b *oracle) recordBreach(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	b.w.Tracef("BROKEN %s", text)
	if len(b.breaches) < maxBreaches {
		b.breaches = append(b.breaches, fmt.Sprintf("%8.3fs %s", b.w.now.Seconds(), text))
	}
}

// orderDigest returns the order's digest from a configuration written by the simulation.
func orderDigest(doc []byte) string { return gjson.GetBytes(doc, "note").Str }

// recordApplied records an edit that a replica applied. All replicas must apply the same edit at the same revision,
// and an order must be committed once and never after it was refused.
func (b *oracle) recordApplied(s *storeProcess, id, revision int64, e wire.Edit) {
	edit := e.Key + " by " + e.By
	if b.history[id] == nil {
		b.history[id] = map[int64]string{}
	}
	if was, isKnown := b.history[id][revision]; isKnown && was != edit {
		b.recordBreach("group %d has two histories: %s applied %q at revision %d, another replica applied %q", id, s.name, edit, revision, was)
	}
	b.history[id][revision] = edit
	if id == feed.ConfigPart && e.Key == config.DocumentKey {
		digest := orderDigest(e.Value)
		if was, isKnown := b.committed[digest]; isKnown && was != revision {
			b.recordBreach("order %s was committed twice, at revisions %d and %d", digest, was, revision)
		}
		b.committed[digest] = revision
		if b.refused[digest] {
			b.recordBreach("order %s was committed although it had been refused", digest)
		}
	}
}

// recordConfirmed records that a manager confirmed an order to its operator.
func (b *oracle) recordConfirmed(o *order) {
	revision, isCommitted := b.committed[o.digest]
	if !isCommitted {
		b.recordBreach("order %s of version %d was confirmed but never committed", o.digest, o.version)
		return
	}
	if was, isKnown := b.confirmed[o.version]; isKnown && was != o.digest {
		b.recordBreach("two orders were confirmed under version %d: %s and %s", o.version, was, o.digest)
	}
	b.confirmed[o.version] = o.digest
	b.w.Tracef("order %s of version %d was confirmed", o.digest, o.version)
	b.newestAcked = max(b.newestAcked, revision)
	b.acks = append(b.acks, ackedEdit{revision: revision, at: b.w.now, base: o.base})
}

// recordRefused records that a manager refused an order for good.
func (b *oracle) recordRefused(o *order, err error) {
	b.refused[o.digest] = true
	if revision, isCommitted := b.committed[o.digest]; isCommitted {
		b.recordBreach("order %s (version %d on base %d) was committed at revision %d and then refused on a retry: %v", o.digest, o.version, o.base, revision, err)
	}
}

// checkRead checks a read that began when since was the newest acknowledged revision: it must not return an older
// one.
func (b *oracle) checkRead(by string, revision, since int64) {
	if revision < since {
		b.recordBreach("%s read the configuration at revision %d, although %d was acknowledged before the read began", by, revision, since)
	}
}

// checkView checks a daemon's view after an update: it must not go back, and must match the history.
func (b *oracle) checkView(p *process) {
	revision := p.view.Revision(feed.ConfigPart)
	if revision < p.newestRevision {
		b.recordBreach("the view of %s went back from revision %d to %d", p.name, p.newestRevision, revision)
	}
	p.newestRevision = revision
	c, isKnown := p.view.Get(feed.ConfigPart, config.DocumentKey)
	if edit := b.history[feed.ConfigPart][c.Revision]; isKnown && edit != c.Key+" by "+c.By {
		b.recordBreach("the view of %s has edit %q at revision %d, the history has %q", p.name, c.By, c.Revision, edit)
	}
}

// checkAct checks a daemon that may act now: its view must include every configuration that was acknowledged longer
// ago than the ConfigApply bound.
func (b *oracle) checkAct(p *process) {
	revision := p.view.Revision(feed.ConfigPart)
	for i := len(b.acks) - 1; i >= 0 && b.w.now-b.acks[i].at < 3*timing.Default.ConfigApply; i-- {
		if e := b.acks[i]; b.w.now-e.at > timing.Default.ConfigApply && revision < e.revision {
			b.recordBreach("%s acts on configuration revision %d, although %d was acknowledged %v ago", p.name, revision, e.revision, b.w.now-e.at)
			return
		}
	}
}

// recordKey records a key of a place whose write was acknowledged.
func (b *oracle) recordKey(id int64, key string) {
	if b.ackedKeys[id] == nil {
		b.ackedKeys[id] = map[string]bool{}
	}
	b.ackedKeys[id][key] = true
}

// checkOperations checks that the operators' calls are linearizable. It is skipped if other rules are broken.
func (b *oracle) checkOperations() {
	if len(b.breaches) > 0 {
		return // the breaches found so far say more
	}
	if isOk, text := linearize.Check(b.operations); !isOk {
		b.recordBreach("the history of the operators' calls is not linearizable: %s", text)
	}
}
