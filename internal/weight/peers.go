package weight

import (
	"maps"
	"sync"
)

// Peers weighs the peer daemons among which this one is free to choose, from
// its own asks alone. It is safe for many goroutines.
//
// Invariant: only peers that were asked since they were last seen here have an
// entry, so their number is bounded by the members.
type Peers struct {
	mu      sync.Mutex
	seen    map[string]Seen
	weights map[string]float64
}

const smooth = 0.1 // share of the newest observation

// Saw records one request to a peer, whether it was answered, and how fast.
func (p *Peers) Saw(name string, micros float64, isAnswered bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.seen == nil {
		p.seen = map[string]Seen{}
	}
	s := p.seen[name]
	if isAnswered {
		if s.Micros == 0 {
			s.Micros = micros
		}
		s.Micros += (micros - s.Micros) * smooth
		s.Failed -= s.Failed * smooth
	} else {
		s.Failed += (1 - s.Failed) * smooth
	}
	p.seen[name] = s
}

// Turn moves the weights one step and forgets peers that are gone.
func (p *Peers) Turn(isHere func(name string) bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	maps.DeleteFunc(p.seen, func(name string, _ Seen) bool { return !isHere(name) })
	p.weights = Turn(p.weights, p.seen)
}

// Of returns a peer's weight, from Least to 1.
func (p *Peers) Of(name string) float64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return get(p.weights, name)
}

// All returns a copy of all weights, by peer.
func (p *Peers) All() map[string]float64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return maps.Clone(p.weights)
}
