package place

import (
	"cmp"
	"slices"
	"strings"

	"caperwheel/internal/wire"
)

// archived is a message that is over and needs no notification any more. It is kept, in encoded form, as long as its
// outcome may be looked up: as a Message with its entry in the queue it would take three times the memory.
//
// Invariant: a message is either in a machine's messages or in its archive.
type archived struct {
	forgetAt int64 // place time from which on it may be forgotten
	size     int64 // bytes of its body and head
	lane     string
	state    State
	raw      []byte // the encoded Message
}

// archiveCodec encodes archived messages. They never leave the process, so no older versions are needed.
var archiveCodec = wire.NewLatestRecordCodec(&Message{})

// isFinal reports whether nothing about a message can change any more until it is forgotten.
func (m *Machine) isFinal(e *Message) bool {
	return e.State.IsOver() && !e.IsNotificationPending && !e.IsHoldingKey && m.outbox[e.Child].Id == ""
}

// archiveIfFinal moves a message to the archive if it is final. Strings that are kept are cloned: the decoder allocates
// short strings in blocks of a kilobyte, and each block stays in memory as long as any of its strings.
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

// Find returns a message by id; nil if there is none. For an archived message it returns a copy.
func (m *Machine) Find(id string) *Message {
	if e := m.messages[id]; e != nil {
		return e
	}
	if a, isArchived := m.archive[id]; isArchived {
		return a.message()
	}
	return nil
}

// message decodes an archived message. It panics on an error, which only a bug can cause.
func (a archived) message() *Message {
	e := &Message{}
	if err := archiveCodec.Decode(a.raw, e); err != nil {
		panic(err)
	}
	return e
}

// forgettableArchived returns the ids of up to limit archived messages that may be forgotten, the oldest first.
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

// intern returns an equal string that is stored only once for all messages.
func (m *Machine) intern(text string) string {
	if known, isKnown := m.interned[text]; isKnown {
		return known
	}
	text = strings.Clone(text)
	m.interned[text] = text
	return text
}

// forget deletes a message that is over, unless its call-back is still in the outbox.
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
