package place

// Tally counts the messages by lane and state, and gives for each lane the
// nearest deadline, in place time, of those that are not over.
func (m *Machine) Tally() (counts map[string]map[State]int, deadlines map[string]int64) {
	counts, deadlines = map[string]map[State]int{}, map[string]int64{}
	for _, e := range m.messages {
		if counts[e.Lane] == nil {
			counts[e.Lane] = map[State]int{}
		}
		counts[e.Lane][e.State]++
		if at, isKnown := deadlines[e.Lane]; !e.State.IsOver() && (!isKnown || e.Deadline < at) {
			deadlines[e.Lane] = e.Deadline
		}
	}
	return counts, deadlines
}
