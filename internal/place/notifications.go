package place

import (
	"maps"
	"slices"
)

// size returns the number of bytes of a message's body and head.
func (e *Message) size() int64 { return int64(len(e.Body) + len(e.Head)) }

// dropBytes drops the body of a message that has succeeded, and its head once its caller needs no notification any
// more.
func (m *Machine) dropBytes(e *Message) {
	m.bytes -= e.size()
	e.Body = nil
	if !e.IsNotificationPending {
		e.Head = nil
	}
	m.bytes += e.size()
}

// markNotified records that the caller has been notified of the outcome of a message.
func (m *Machine) markNotified(id string) {
	delete(m.pendingNotifications, id)
	e := m.messages[id]
	if e == nil || !e.IsNotificationPending {
		return
	}
	e.IsNotificationPending = false
	if e.State == Ended && e.Body == nil {
		m.dropBytes(e)
	}
	m.archiveIfFinal(id)
}

// PendingNotifications returns the messages whose callers must still be notified of the outcome, in the order of their
// ids.
func (m *Machine) PendingNotifications() []*Message {
	out := []*Message{}
	for _, id := range slices.Sorted(maps.Keys(m.pendingNotifications)) {
		out = append(out, m.messages[id])
	}
	return out
}

// CountPendingNotifications returns the number of PendingNotifications.
func (m *Machine) CountPendingNotifications() int { return len(m.pendingNotifications) }
