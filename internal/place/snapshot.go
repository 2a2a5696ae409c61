package place

import (
	"maps"
	"slices"

	"caperwheel/internal/quota"
	"caperwheel/internal/wire"
)

// snapshot is the stored form of a Machine.
type snapshot struct {
	Clock    int64     `avro:"clock"`
	Seq      int64     `avro:"seq"`
	Messages []Message `avro:"errands"`
	Outbox   []Child   `avro:"outbox"`
	Level    int64     `avro:"level" since:"6"`
	Counts   []byte    `avro:"counts" since:"8"` // snapshot of the quota.Allocator
	// Since LevelClaims.
	LevelRaisedAt int64   `avro:"level_at" since:"9"`
	Claims        []Claim `avro:"claims" since:"9"` // in the order in which they were recorded
}

// snapshotCodec marks records of newer versions by a prefix that no older record can have: the clock of a snapshot is
// never negative.
var snapshotCodec = wire.NewVersionedCodec(&snapshot{}, wire.PrefixIntIntList)

// Snapshot returns the whole state in encoded form, in the oldest version that can represent it.
func (m *Machine) Snapshot() []byte {
	isGrown := false
	out := snapshot{Level: m.level, Clock: m.clock, Seq: m.seq, Messages: make([]Message, 0, len(m.messages)+len(m.archive)), Outbox: []Child{}}
	for _, e := range m.messages {
		out.Messages = append(out.Messages, *e)
	}
	for _, a := range m.archive {
		out.Messages = append(out.Messages, *a.message())
	}
	for i := range out.Messages {
		e := &out.Messages[i]
		isGrown = isGrown || len(e.Head) > 0 || e.Notify != "" || e.StartBy != 0
	}
	slices.SortFunc(out.Messages, func(a, b Message) int { return int(a.Seq - b.Seq) })
	for _, id := range slices.Sorted(maps.Keys(m.outbox)) {
		out.Outbox = append(out.Outbox, m.outbox[id])
	}
	switch {
	case m.level >= LevelClaims:
		out.Counts, out.LevelRaisedAt, out.Claims = m.ledger.Snapshot(), m.levelRaisedAt, m.claims.list()
		return snapshotCodec.EncodeVersion(&out, 9)
	case m.level >= LevelQuotas:
		out.Counts = m.ledger.Snapshot()
		return snapshotCodec.EncodeVersion(&out, 8)
	case m.level > 0:
		return snapshotCodec.EncodeVersion(&out, 6)
	}
	return snapshotCodec.Encode(&out, isGrown)
}

// Restore returns the machine with the state of a snapshot. It returns an error of the kind Rejected for a feature
// level that this build cannot apply.
func Restore(raw []byte) (*Machine, error) {
	var in snapshot
	if err := snapshotCodec.Decode(raw, &in); err != nil {
		return nil, err
	}
	if err := checkLevel(in.Level); err != nil {
		return nil, err
	}
	m := New()
	counts, err := quota.Restore(in.Counts)
	if err != nil {
		return nil, err
	}
	m.clock, m.seq, m.level, m.ledger, m.levelRaisedAt = in.Clock, in.Seq, in.Level, counts, in.LevelRaisedAt
	for _, known := range in.Claims {
		m.claims.add(known)
	}
	for _, read := range in.Messages {
		e := &read // a copy, so that no message keeps the whole slice in memory
		m.messages[e.Id] = e
		m.bytes += e.size()
		if e.IsNotificationPending {
			m.pendingNotifications[e.Id] = true
		}
		if e.IdempotencyKey != "" {
			m.idempotencyKeys[e.idempotencyKey()] = e.Id
		}
		if e.Ordered && (!e.State.IsOver() || e.IsHoldingKey) {
			m.keys[e.orderKey()] = append(m.keys[e.orderKey()], e.Id)
		}
		m.trackKeyHolder(e)
	}
	for _, c := range in.Outbox {
		m.outbox[c.Id] = c
	}
	for _, e := range in.Messages {
		m.archiveIfFinal(e.Id)
	}
	m.RebuildQueue()
	return m, nil
}

// RebuildQueue derives the queue from the messages again. A new owner calls it, so that picks that it has not made, and
// earlier results of TakeExpired and TakeForgettable, have no effect.
func (m *Machine) RebuildQueue() {
	m.queue = newQueue()
	all := slices.SortedFunc(maps.Values(m.messages), func(a, b *Message) int { return int(a.Seq - b.Seq) })
	for _, e := range all {
		m.queue.reindex(m, e)
	}
}
