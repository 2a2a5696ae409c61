// Package feed is the numbered feed of control changes: Part is the state of
// one part of the control state, View what a follower has of all parts.
package feed

import (
	"hash/fnv"
	"maps"
	"slices"

	"caperwheel/internal/errs"
	"caperwheel/internal/wire"
)

// ConfigPart holds the configuration, the zones and the stores; the pools' lists
// and duties are spread over the parts behind it.
const ConfigPart = 0

// PartOf gives the part that holds a pool, by hash of its name.
func PartOf(pool string, parts int) int64 {
	h := fnv.New32a()
	h.Write([]byte(pool))
	return ConfigPart + 1 + int64(h.Sum32()%uint32(parts))
}

// Part is the replicated state of one part. It is pure.
//
// Invariants: revision grows by one with each change that holds; trail has the
// newest change of each key, gone ones too, so the changes behind any revision
// can be told without a history; clock never goes back.
type Part struct {
	revision int64
	clock    int64 // part time of the newest edit that tells it, in milliseconds
	changes  changeLog
	history  []wire.Change // the newest changes of Remembered, without values
	orders   *orderHistory // operators' orders that were taken
	calls    *orderHistory // edits of single calls that were taken
}

// Remembered is the key whose recent changes are kept by author, and History
// the name under which they can be pulled.
const (
	TrackedKey = "charter"
	History    = "#history"
	maxHistory = 30
)

// NewPart gives an empty part.
func NewPart() *Part {
	return &Part{changes: newChangeLog(), orders: newOrderHistory(maxOrders), calls: newOrderHistory(maxCalls)}
}

// Clock is the part time of the newest edit.
func (p *Part) Clock() int64 { return p.clock }

// Revision is the number of the newest change.
func (p *Part) Revision() int64 { return p.revision }

// Get returns a key's newest change.
func (p *Part) Get(key string) (wire.Change, bool) {
	c, isKnown := p.changes.newest[key]
	return c, isKnown && !c.Gone
}

// Apply takes one committed edit in. Of two edits on one base exactly one
// holds, since the first moves the key's revision; of two with one order the second
// is told that the first holds. What is compared, set and remembered is one step.
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
		return wire.Edited{Kind: string(errs.Stale), Text: "whether " + e.Key + " was changed so before is forgotten", Revision: revision}
	}
	if e.IfRevision >= 0 && revision != e.IfRevision {
		return wire.Edited{Kind: string(errs.Conflict), Text: e.Key + " has changed since", Revision: revision}
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

// newsChangesLimit bounds the changes of one answer; the follower asks again.
const newsChangesLimit = 512

// News returns the changes behind a revision. isNewest tells whether they reach the
// newest.
func (p *Part) News(part, from int64) (news wire.PartNews, isNewest bool) {
	return p.changes.newsSince(part, from, p.revision)
}

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

// An image's revision is never negative, and an edit's key never shorter than nothing.
var (
	partCodec = wire.NewVersionedCodec(&partSnapshot{}, wire.PrefixIntList)
	editCodec = wire.NewVersionedCodec(&wire.Edit{}, wire.PrefixIntString)
)

// Snapshot gives the whole state as bytes.
func (p *Part) Snapshot() []byte {
	out := partSnapshot{Revision: p.revision, Changes: []wire.Change{}, Past: append([]wire.Change{}, p.history...), Clock: p.clock,
		Orders: append([]takenOrder{}, p.orders.queue...), OrdersFloor: p.orders.forgottenRank,
		Calls: append([]takenOrder{}, p.calls.queue...), CallsFloor: p.calls.forgottenRank}
	for _, key := range slices.Sorted(maps.Keys(p.changes.newest)) {
		out.Changes = append(out.Changes, p.changes.newest[key])
	}
	return partCodec.Encode(&out, p.clock > 0 || len(p.orders.queue)+len(p.calls.queue) > 0)
}

// RestorePart reads a whole state back.
func RestorePart(raw []byte) (*Part, error) {
	in := partSnapshot{OrdersFloor: -1, CallsFloor: -1} // as it is where an older build wrote it
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

// EncodeEdit and DecodeEdit carry an edit through a group's log.
func EncodeEdit(e wire.Edit) []byte {
	if e.EarlierOperations == nil {
		e.EarlierOperations = []string{}
	}
	return editCodec.Encode(&e, e.OperationId != "" || e.At != 0)
}

// DecodeEdit reads an edit back.
func DecodeEdit(raw []byte) (wire.Edit, error) {
	var e wire.Edit
	err := editCodec.Decode(raw, &e)
	return e, err
}
