package place

import "slices"

// releaseKey lets the next message of the key go.
func (m *Machine) releaseKey(e *Message) {
	key := e.orderKey()
	list := slices.DeleteFunc(m.keys[key], func(id string) bool { return id == e.Id })
	if len(list) == 0 {
		delete(m.keys, key)
		return
	}
	m.keys[key] = list
	m.queue.reindex(m, m.messages[list[0]])
}

// isFirstOfKey: an ordered message runs only when all before it are over.
func (m *Machine) isFirstOfKey(e *Message) bool {
	return !e.Ordered || len(m.keys[e.orderKey()]) > 0 && m.keys[e.orderKey()][0] == e.Id
}
