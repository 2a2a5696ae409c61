package place

// Tally counts the messages by lane and state, and gives for each lane the
// nearest cutoff, in place time, of those that are not over.
func (m *Machine) Tally() (counts map[string]map[State]int, cutoffs map[string]int64) {
	counts, cutoffs = map[string]map[State]int{}, map[string]int64{}
	for _, e := range m.messages {
		if counts[e.Lane] == nil {
			counts[e.Lane] = map[State]int{}
		}
		counts[e.Lane][e.State]++
		if at, isKnown := cutoffs[e.Lane]; !e.State.IsOver() && (!isKnown || e.Cutoff < at) {
			cutoffs[e.Lane] = e.Cutoff
		}
	}
	return counts, cutoffs
}
