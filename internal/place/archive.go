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
	over  int64 // place time at which it may be forgotten
	size  int64 // bytes of callers that it keeps
	lane  string
	state State
	raw   []byte
}

// The archive never leaves the process, so its records need no older form.
var archiveCodec = wire.NewInner(&Message{})

// isSettled reports whether nothing about a message can change any more until it is
// forgotten.
func (m *Machine) isSettled(e *Message) bool {
	return e.State.IsOver() && !e.IsOwed && !e.IsHolder && m.outbox[e.Child].Id == ""
}

// settle moves a message to the archive if it is settled. What is kept of its texts is
// copied: the decoder cuts short texts out of blocks of a kilobyte, each of which lives
// for as long as any of its texts.
func (m *Machine) settle(id string) {
	e := m.messages[id]
	if e == nil || !m.isSettled(e) {
		return
	}
	m.queue.leave(e)
	delete(m.messages, id)
	id = strings.Clone(id)
	if e.Idem != "" && m.idems[e.idemOf()] == id {
		m.idems[e.idemOf()] = id
	}
	m.archive[id] = archived{over: e.Over, size: e.size(), lane: m.name(e.Lane), state: e.State, raw: archiveCodec.Encode(e)}
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

// staleArchived gives the ids of up to most archived messages that may be forgotten,
// the oldest first.
func (m *Machine) staleArchived(now int64, most int) []string {
	due := []rank{}
	for id, a := range m.archive {
		if a.over <= now {
			due = append(due, rank{at: a.over, id: id})
		}
	}
	slices.SortFunc(due, func(x, y rank) int { return cmp.Or(cmp.Compare(x.at, y.at), cmp.Compare(x.id, y.id)) })
	out := []string{}
	for _, r := range due[:min(len(due), most)] {
		out = append(out, r.id)
	}
	return out
}

// name returns the same text, stored once for all messages that have it.
func (m *Machine) name(text string) string {
	if known, isKnown := m.names[text]; isKnown {
		return known
	}
	text = strings.Clone(text)
	m.names[text] = text
	return text
}

// forget drops a message that is over, unless its call-back still stands here.
func (m *Machine) forget(id string) {
	e := m.Find(id)
	if e == nil || !e.State.IsOver() || m.outbox[e.Child].Id != "" {
		return
	}
	if e.IsHolder {
		e.IsHolder = false
		m.release(e)
	}
	delete(m.holders, id)
	m.bytes -= e.size()
	delete(m.owed, id)
	delete(m.messages, id)
	delete(m.archive, id)
	if e.Idem != "" && m.idems[e.idemOf()] == id {
		delete(m.idems, e.idemOf())
	}
	m.queue.leave(e)
}
