package place

import "slices"

// releaseKey removes a message from the list of its ordering key, and makes the next one eligible to run.
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

// isFirstOfKey reports whether a message may run as far as its order is concerned: it is unordered, or no earlier
// message blocks its key.
func (m *Machine) isFirstOfKey(e *Message) bool {
	return !e.Ordered || len(m.keys[e.orderKey()]) > 0 && m.keys[e.orderKey()][0] == e.Id
}
