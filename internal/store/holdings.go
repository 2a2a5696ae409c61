package store

// Asks returns how many asks for slots are under way.
func (d *Dispatcher) Asks() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	out := 0
	for _, open := range d.wants {
		out += len(open)
	}
	return out
}

// Holdings count what a place's owner holds for others.
type Holdings struct {
	Open    int // runs that have begun and not ended, of lanes that there are
	Asked   int // asks whose proposals are not decided
	Waiting int // callers who wait for a message's end
	Words   int // words about ends that are owed
}

// Holdings returns what the place's owner holds; to be called on the place's goroutine.
func (p *PlaceHost) Holdings() Holdings {
	open, lanes := 0, p.environment.Compiled().Rules.Lanes
	for _, e := range p.machine.Open() {
		if _, isKnown := lanes[e.Lane]; isKnown {
			open++
		}
	}
	return Holdings{Open: open, Asked: len(p.underWay), Waiting: p.waiting, Words: p.machine.CountOwed()}
}
