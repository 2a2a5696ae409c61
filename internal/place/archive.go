package place

import (
	"cmp"
	"slices"
	"strings"

	"caperwheel/internal/wire"
)

// archived is a message that is over and of which nobody has to be told any more. It
// is kept for as long as its end may be asked for, as bytes: as a Message, with its
// place in the queue, it would take three times the memory.
//
// Invariant: a message stands either in a machine's messages or in its archive.
type archived struct {
	forgetAt int64 // place time at which it may be forgotten
	size     int64 // bytes of callers that it keeps
	lane     string
	state    State
	raw      []byte
}

// The archive never leaves the process, so its records need no older form.
var archiveCodec = wire.NewLatestRecordCodec(&Message{})

// isFinal reports whether nothing about a message can change any more until it is
// forgotten.
func (m *Machine) isFinal(e *Message) bool {
	return e.State.IsOver() && !e.IsNotificationPending && !e.IsHoldingKey && m.outbox[e.Child].Id == ""
}

// archiveIfFinal moves a message to the archive if it is settled. What is kept of its texts is
// copied: the decoder cuts short texts out of blocks of a kilobyte, each of which lives
// for as long as any of its texts.
func (m *Machine) archiveIfFinal(id string) {
	e := m.messages[id]
	if e == nil || !m.isFinal(e) {
		return
	}
	m.queue.remove(e)
	delete(m.messages, id)
	id = strings.Clone(id)
	if e.IdempotencyKey != "" && m.idempotencyKeys[e.idempotencyKey()] == id {
		m.idempotencyKeys[e.idempotencyKey()] = id
	}
	m.archive[id] = archived{forgetAt: e.ForgetAt, size: e.size(), lane: m.intern(e.Lane), state: e.State, raw: archiveCodec.Encode(e)}
}

// Find returns a message by id, nil if there is none. One that is settled is a copy.
func (m *Machine) Find(id string) *Message {
	if e := m.messages[id]; e != nil {
		return e
	}
	if a, isArchived := m.archive[id]; isArchived {
		return a.message()
	}
	return nil
}

// message reads an archived message back. What was encoded here cannot be damaged.
func (a archived) message() *Message {
	e := &Message{}
	if err := archiveCodec.Decode(a.raw, e); err != nil {
		panic(err)
	}
	return e
}

// forgettableArchived gives the ids of up to most archived messages that may be forgotten,
// the oldest first.
func (m *Machine) forgettableArchived(now int64, limit int) []string {
	due := []rank{}
	for id, a := range m.archive {
		if a.forgetAt <= now {
			due = append(due, rank{at: a.forgetAt, id: id})
		}
	}
	slices.SortFunc(due, func(x, y rank) int { return cmp.Or(cmp.Compare(x.at, y.at), cmp.Compare(x.id, y.id)) })
	out := []string{}
	for _, r := range due[:min(len(due), limit)] {
		out = append(out, r.id)
	}
	return out
}

// intern returns the same text, stored once for all messages that have it.
func (m *Machine) intern(text string) string {
	if known, isKnown := m.interned[text]; isKnown {
		return known
	}
	text = strings.Clone(text)
	m.interned[text] = text
	return text
}

// forget drops a message that is over, unless its call-back still stands here.
func (m *Machine) forget(id string) {
	e := m.Find(id)
	if e == nil || !e.State.IsOver() || m.outbox[e.Child].Id != "" {
		return
	}
	if e.IsHoldingKey {
		e.IsHoldingKey = false
		m.releaseKey(e)
	}
	delete(m.keyHolders, id)
	m.bytes -= e.size()
	delete(m.pendingNotifications, id)
	delete(m.messages, id)
	delete(m.archive, id)
	if e.IdempotencyKey != "" && m.idempotencyKeys[e.idempotencyKey()] == id {
		delete(m.idempotencyKeys, e.idempotencyKey())
	}
	m.queue.remove(e)
}
