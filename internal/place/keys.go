package place

import "slices"

// release lets the next message of the key go.
func (m *Machine) release(e *Message) {
	key := e.keyOf()
	list := slices.DeleteFunc(m.keys[key], func(id string) bool { return id == e.Id })
	if len(list) == 0 {
		delete(m.keys, key)
		return
	}
	m.keys[key] = list
	m.queue.note(m, m.messages[list[0]])
}

// isFirst: an ordered message runs only when all before it are over.
func (m *Machine) isFirst(e *Message) bool {
	return !e.Ordered || len(m.keys[e.keyOf()]) > 0 && m.keys[e.keyOf()][0] == e.Id
}
