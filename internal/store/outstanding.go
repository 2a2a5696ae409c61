package store

// CountRequests returns how many asks for slots are under way.
func (d *Dispatcher) CountRequests() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	out := 0
	for _, open := range d.requests {
		out += len(open)
	}
	return out
}

// Outstanding count what a place's owner holds for others.
type Outstanding struct {
	OpenRuns          int // runs that have begun and not ended, of lanes that there are
	PendingRequests   int // asks whose proposals are not decided
	Waiters           int // callers who wait for a message's end
	OwedNotifications int // words about ends that are owed
}

// Outstanding returns what the place's owner holds; to be called on the place's goroutine.
func (p *PlaceHost) Outstanding() Outstanding {
	open, lanes := 0, p.environment.Compiled().Rules.Lanes
	for _, e := range p.machine.Running() {
		if _, isKnown := lanes[e.Lane]; isKnown {
			open++
		}
	}
	return Outstanding{OpenRuns: open, PendingRequests: len(p.pending), Waiters: p.waiterCount, OwedNotifications: p.machine.CountPendingNotifications()}
}
