// Package feed replicates the control state: keys with values, whose changes are numbered by revisions. The control
// state is split into parts. Part is the replicated state machine of one part, which package store drives; View is
// the copy of all parts that every daemon keeps by polling for the changes after the revisions that it has.
package feed

import (
	"hash/fnv"
	"maps"
	"slices"

	"caperwheel/internal/errs"
	"caperwheel/internal/wire"
)

// ConfigPart is the number of the part that holds the configuration, the zones and the stores. The workers and duties
// of pools are spread over the parts with higher numbers.
const ConfigPart = 0

// PartOf returns the part that holds a pool, by the hash of its name.
func PartOf(pool string, parts int) int64 {
	h := fnv.New32a()
	h.Write([]byte(pool))
	return ConfigPart + 1 + int64(h.Sum32()%uint32(parts))
}

// Part is the replicated state of one part. It has no I/O and no clock.
//
// Invariants: each edit that takes effect increases the revision by one; changes has the newest change of each key,
// including deletions, so the changes after any revision can be returned without a full history; clock never decreases.
type Part struct {
	revision int64
	clock    int64 // part time of the newest edit that carries it, in milliseconds of the group's own clock
	changes  changeLog
	history  []wire.Change // the newest changes of TrackedKey, without values
	orders   *orderHistory // operators' orders that have taken effect
	calls    *orderHistory // edits of single calls that have taken effect
}

// TrackedKey is the key of the configuration, whose last maxHistory changes are kept with their authors. History is the
// key under which those can be read.
const (
	TrackedKey = "charter"
	History    = "#history"
	maxHistory = 30
)

// NewPart returns an empty part.
func NewPart() *Part {
	return &Part{changes: newChangeLog(), orders: newOrderHistory(maxOrders), calls: newOrderHistory(maxCalls)}
}

// Clock returns the part time of the newest edit.
func (p *Part) Clock() int64 { return p.clock }

// Revision returns the number of the newest change.
func (p *Part) Revision() int64 { return p.revision }

// Get returns the newest change of a key; false if the key does not exist or has been deleted.
func (p *Part) Get(key string) (wire.Change, bool) {
	c, isKnown := p.changes.newest[key]
	return c, isKnown && !c.Gone
}

// Apply applies one committed edit: it compares the key's revision, sets the value and records the order in one step.
// Of two edits based on the same revision only the first takes effect, as it changes the revision. Of two with the
// same operation id the second returns the revision that the first has made.
func (p *Part) Apply(e wire.Edit) wire.Edited {
	p.clock = max(p.clock, e.At)
	if one, isTaken := p.findOrder(e.OperationId); isTaken {
		return wire.Edited{Revision: one.Revision, IsRepeat: true}
	}
	revision := int64(0)
	if was, isKnown := p.Get(e.Key); isKnown {
		revision = was.Revision
	}
	if e.IfRevision >= 0 && revision != e.IfRevision && p.mayBeForgotten(e) {
		return wire.Edited{Kind: string(errs.Stale), Text: "the orders remembered for " + e.Key + " no longer show whether this one has taken effect before", Revision: revision}
	}
	if e.IfRevision >= 0 && revision != e.IfRevision {
		return wire.Edited{Kind: string(errs.Conflict), Text: e.Key + " has changed since the revision that the edit is based on", Revision: revision}
	}
	p.revision++
	p.changes.put(wire.Change{Key: e.Key, Value: e.Value, Revision: p.revision, Gone: e.Gone, By: e.By})
	if e.Key == TrackedKey {
		p.history = append(p.history, wire.Change{Key: e.Key, Value: []byte{}, Revision: p.revision, By: e.By})
		p.history = p.history[max(0, len(p.history)-maxHistory):]
	}
	p.recordOrder(e)
	return wire.Edited{Revision: p.revision}
}

// newsChangesLimit is the maximum number of changes in one answer. A follower polls again for the rest.
const newsChangesLimit = 512

// News returns the changes after revision from, up to a limit. isNewest reports whether they reach the newest revision.
func (p *Part) News(part, from int64) (news wire.PartNews, isNewest bool) {
	return p.changes.newsSince(part, from, p.revision)
}

// partSnapshot is the stored form of a Part.
type partSnapshot struct {
	Revision    int64         `avro:"stamp"`
	Changes     []wire.Change `avro:"changes"`
	Past        []wire.Change `avro:"past"`
	Clock       int64         `avro:"clock" since:"4"`
	Orders      []takenOrder  `avro:"orders" since:"4"`
	OrdersFloor int64         `avro:"orders_floor" since:"4"`
	Calls       []takenOrder  `avro:"calls" since:"4"`
	CallsFloor  int64         `avro:"calls_floor" since:"4"`
}

// The codecs mark records of newer versions by a prefix that no older record can have: the revision of a snapshot, and
// the length of an edit's key, are never negative.
var (
	partCodec = wire.NewVersionedCodec(&partSnapshot{}, wire.PrefixIntList)
	editCodec = wire.NewVersionedCodec(&wire.Edit{}, wire.PrefixIntString)
)

// Snapshot returns the whole state in encoded form, in the oldest version that can represent it.
func (p *Part) Snapshot() []byte {
	out := partSnapshot{Revision: p.revision, Changes: []wire.Change{}, Past: append([]wire.Change{}, p.history...), Clock: p.clock,
		Orders: append([]takenOrder{}, p.orders.queue...), OrdersFloor: p.orders.forgottenRank,
		Calls: append([]takenOrder{}, p.calls.queue...), CallsFloor: p.calls.forgottenRank}
	for _, key := range slices.Sorted(maps.Keys(p.changes.newest)) {
		out.Changes = append(out.Changes, p.changes.newest[key])
	}
	return partCodec.Encode(&out, p.clock > 0 || len(p.orders.queue)+len(p.calls.queue) > 0)
}

// RestorePart returns the part with the state of a snapshot.
func RestorePart(raw []byte) (*Part, error) {
	in := partSnapshot{OrdersFloor: -1, CallsFloor: -1} // the values for snapshots of older builds
	if err := partCodec.Decode(raw, &in); err != nil {
		return nil, err
	}
	p := NewPart()
	p.revision, p.history, p.clock = in.Revision, in.Past, in.Clock
	p.changes.load(in.Changes)
	p.orders.load(in.Orders, in.OrdersFloor)
	p.calls.load(in.Calls, in.CallsFloor)
	return p, nil
}

// EncodeEdit encodes an edit for a group's log.
func EncodeEdit(e wire.Edit) []byte {
	if e.EarlierOperations == nil {
		e.EarlierOperations = []string{}
	}
	return editCodec.Encode(&e, e.OperationId != "" || e.At != 0)
}

// DecodeEdit decodes an edit of a group's log.
func DecodeEdit(raw []byte) (wire.Edit, error) {
	var e wire.Edit
	err := editCodec.Decode(raw, &e)
	return e, err
}
