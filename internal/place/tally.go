package place

// Tally is what a place holds, by lane. Times are place time, in milliseconds.
type Tally struct {
	Counts    map[string]map[State]int
	Deadlines map[string]int64 // the nearest of those that are not over
	Waits     map[string]int64 // how long the longest has waited of those that may run
}

// Tally counts the messages at a place time.
func (m *Machine) Tally(now int64) Tally {
	counts, deadlines, waits := map[string]map[State]int{}, map[string]int64{}, map[string]int64{}
	count := func(lane string, state State) {
		if counts[lane] == nil {
			counts[lane] = map[State]int{}
		}
		counts[lane][state]++
	}
	for _, a := range m.archive {
		count(a.lane, a.state)
	}
	for _, e := range m.messages {
		count(e.Lane, e.State)
		if at, isKnown := deadlines[e.Lane]; !e.State.IsOver() && (!isKnown || e.Deadline < at) {
			deadlines[e.Lane] = e.Deadline
		}
		if e.State == Held && e.Due <= now && m.isFirst(e) {
			waits[e.Lane] = max(waits[e.Lane], now-e.Due)
		}
	}
	return Tally{counts, deadlines, waits}
}

// CountOpen returns how many messages have a run under way.
func (m *Machine) CountOpen() int { return len(m.queue.open) }
