// Package feed is the numbered feed of control changes: Part is the state of
// one part of the control state, View what a follower has of all parts.
package feed

import (
	"hash/fnv"
	"maps"
	"slices"

	"caperwheel/internal/mishap"
	"caperwheel/internal/wire"
)

// CharterPart holds the charter, the cells and the stores; the pools' lists
// and duties are spread over the parts behind it.
const CharterPart = 0

// PartOf gives the part that holds a pool, by hash of its name.
func PartOf(pool string, parts int) int64 {
	h := fnv.New32a()
	h.Write([]byte(pool))
	return CharterPart + 1 + int64(h.Sum32()%uint32(parts))
}

// Part is the replicated state of one part. It is pure.
//
// Invariants: stamp grows by one with each change that holds; trail has the
// newest change of each key, gone ones too, so the changes behind any stamp
// can be told without a history.
type Part struct {
	stamp int64
	trail trail
	past  []wire.Change // the newest changes of Remembered, without values
}

// Remembered is the key whose recent changes are kept by author, and History
// the name under which they can be pulled.
const (
	Remembered = "charter"
	History    = "#history"
	mostPast   = 30
)

// NewPart gives an empty part.
func NewPart() *Part { return &Part{trail: newTrail()} }

// Stamp is the number of the newest change.
func (p *Part) Stamp() int64 { return p.stamp }

// Get gives a key's newest change.
func (p *Part) Get(key string) (wire.Change, bool) {
	c, isKnown := p.trail.keys[key]
	return c, isKnown && !c.Gone
}

// Apply takes one committed edit in. Of two edits on one base exactly one
// holds, since the first moves the key's stamp.
func (p *Part) Apply(e wire.Edit) wire.Edited {
	stamp := int64(0)
	if was, isKnown := p.Get(e.Key); isKnown {
		stamp = was.Stamp
	}
	if e.IfStamp >= 0 && stamp != e.IfStamp {
		return wire.Edited{Kind: string(mishap.Conflict), Text: e.Key + " has changed since", Stamp: stamp}
	}
	p.stamp++
	p.trail.put(wire.Change{Key: e.Key, Value: e.Value, Stamp: p.stamp, Gone: e.Gone, By: e.By})
	if e.Key == Remembered {
		p.past = append(p.past, wire.Change{Key: e.Key, Value: []byte{}, Stamp: p.stamp, By: e.By})
		p.past = p.past[max(0, len(p.past)-mostPast):]
	}
	return wire.Edited{Stamp: p.stamp}
}

// Past gives the recent changes of the remembered key, oldest first.
func (p *Part) Past() []wire.Change { return slices.Clone(p.past) }

// newsCount bounds the changes of one answer; the follower asks again.
const newsCount = 512

// News gives the changes behind a stamp. isNewest tells whether they reach the
// newest.
func (p *Part) News(part, from int64) (news wire.PartNews, isNewest bool) {
	return p.trail.newsOf(part, from, p.stamp)
}

type partImage struct {
	Stamp   int64         `avro:"stamp"`
	Changes []wire.Change `avro:"changes"`
	Past    []wire.Change `avro:"past"`
}

var (
	partCodec = wire.NewPlain(&partImage{})
	editCodec = wire.NewPlain(&wire.Edit{})
)

// Image gives the whole state as bytes.
func (p *Part) Image() []byte {
	out := partImage{Stamp: p.stamp, Changes: []wire.Change{}, Past: append([]wire.Change{}, p.past...)}
	for _, key := range slices.Sorted(maps.Keys(p.trail.keys)) {
		out.Changes = append(out.Changes, p.trail.keys[key])
	}
	return partCodec.Encode(&out)
}

// RestorePart reads a whole state back.
func RestorePart(raw []byte) (*Part, error) {
	var in partImage
	if err := partCodec.Decode(raw, &in); err != nil {
		return nil, err
	}
	p := NewPart()
	p.stamp, p.past = in.Stamp, in.Past
	p.trail.fill(in.Changes)
	return p, nil
}

// EncodeEdit and DecodeEdit carry an edit through a group's log.
func EncodeEdit(e wire.Edit) []byte { return editCodec.Encode(&e) }

// DecodeEdit reads an edit back.
func DecodeEdit(raw []byte) (wire.Edit, error) {
	var e wire.Edit
	err := editCodec.Decode(raw, &e)
	return e, err
}
