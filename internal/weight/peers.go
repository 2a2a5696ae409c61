package weight

import (
	"maps"
	"sync"
)

// Peers weighs the peer daemons that this one may choose among, by its own requests alone. It is safe for concurrent
// use.
//
// Invariant: only peers that were sent a request and are still members have an entry after Update, so their number is
// bounded by the members.
type Peers struct {
	mu           sync.Mutex
	observations map[string]Observation
	weights      map[string]float64
}

const smoothing = 0.1 // weight of the newest observation in an exponential moving average

// Record records one request to a peer: whether it was answered, and after how many microseconds.
func (p *Peers) Record(name string, micros float64, isAnswered bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.observations == nil {
		p.observations = map[string]Observation{}
	}
	seen := p.observations[name]
	if isAnswered {
		if seen.Micros == 0 {
			seen.Micros = micros
		}
		seen.Micros += (micros - seen.Micros) * smoothing
		seen.Failed -= seen.Failed * smoothing
	} else {
		seen.Failed += (1 - seen.Failed) * smoothing
	}
	p.observations[name] = seen
}

// Update moves the weights one step and forgets peers that have gone.
func (p *Peers) Update(isHere func(name string) bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	maps.DeleteFunc(p.observations, func(name string, _ Observation) bool { return !isHere(name) })
	p.weights = UpdateWeights(p.weights, p.observations)
}

// Weight returns a peer's weight, from WeightFloor to 1.
func (p *Peers) Weight(name string) float64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return weightOf(p.weights, name)
}

// All returns a copy of the weights by peer.
func (p *Peers) All() map[string]float64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return maps.Clone(p.weights)
}
