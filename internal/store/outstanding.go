package store

// CountRequests returns the number of open slot requests.
func (d *Dispatcher) CountRequests() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	out := 0
	for _, requests := range d.requests {
		out += len(requests)
	}
	return out
}

// Outstanding counts what a place's owner has not finished yet. Tests use it to find leaks.
type Outstanding struct {
	OpenRuns          int // open runs, of lanes that are configured
	PendingRequests   int // requests whose proposal is not decided
	Waiters           int // callers that wait for a message's end
	OwedNotifications int // notifications that are not accepted yet
}

// Outstanding returns what the place's owner has not finished yet. It must be called on the place's goroutine.
func (p *PlaceHost) Outstanding() Outstanding {
	open, lanes := 0, p.environment.Compiled().Rules.Lanes
	for _, e := range p.machine.Running() {
		if _, isKnown := lanes[e.Lane]; isKnown {
			open++
		}
	}
	return Outstanding{OpenRuns: open, PendingRequests: len(p.pending), Waiters: p.waiterCount, OwedNotifications: p.machine.CountPendingNotifications()}
}
