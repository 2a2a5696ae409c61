package place

import (
	"maps"
	"slices"
)

// size is how many bytes of callers a message keeps.
func (e *Message) size() int64 { return int64(len(e.Body) + len(e.Head)) }

// dropBytes lets the bytes of a message go that succeeded. Its head stays until
// whoever is to be told of the end has been.
func (m *Machine) dropBytes(e *Message) {
	m.bytes -= e.size()
	e.Body = nil
	if !e.IsNotificationPending {
		e.Head = nil
	}
	m.bytes += e.size()
}

// markNotified notes that somebody has been told of an end.
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

// PendingNotifications gives the messages of whose end somebody must still be told, in the order
// of their ids.
func (m *Machine) PendingNotifications() []*Message {
	out := []*Message{}
	for _, id := range slices.Sorted(maps.Keys(m.pendingNotifications)) {
		out = append(out, m.messages[id])
	}
	return out
}

// CountPendingNotifications reports how many there are.
func (m *Machine) CountPendingNotifications() int { return len(m.pendingNotifications) }
