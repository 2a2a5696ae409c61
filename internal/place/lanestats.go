package place

// LaneStats describes the messages of a place by lane. Times are place time, in milliseconds.
type LaneStats struct {
	Counts       map[string]map[State]int
	Deadlines    map[string]int64 // the earliest deadline of a message that is not over
	LongestWaits map[string]int64 // the longest time that a message which may run has waited
}

// LaneStats returns statistics of the messages as of a place time.
func (m *Machine) LaneStats(now int64) LaneStats {
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
		if e.State == Held && e.Due <= now && m.isFirstOfKey(e) {
			waits[e.Lane] = max(waits[e.Lane], now-e.Due)
		}
	}
	return LaneStats{counts, deadlines, waits}
}

// CountRunning returns how many messages have a run in progress.
func (m *Machine) CountRunning() int { return len(m.queue.running) }
