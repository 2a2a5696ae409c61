package store

import "time"

// Owned starts or ends an ownership. One of a place that holds messages starts once the place's
// time is known.
func (p *PlaceHost) Owned(isOwner bool) {
	p.host.recall, p.time = nil, newTimekeeping()
	p.isUntimed.Store(false)
	if isOwner && !p.machine.IsIdle() {
		p.beginRecall()
		return
	}
	p.begin(isOwner)
}

// begin starts or ends what an owner does. Runs that an earlier owner began are not
// in hand: their adapters are asked before anything is run again.
func (p *PlaceHost) begin(isOwner bool) {
	p.inHand, p.asking = map[string]inHand{}, map[string]time.Duration{}
	p.telling, p.away, p.raising = newTelling(), nil, 0
	p.dropCounts()
	p.lostAt, p.sending, p.missed = map[string]time.Duration{}, map[string]bool{}, map[string]time.Duration{}
	if !isOwner {
		p.tellOnlookers(func(string, onlooker) bool { return true })
	}
	if isOwner {
		ownerships.Inc()
		p.machine.Requeue()
		p.logOwnership()
	}
	p.publish()
}

// Ready reports what may run now, by lane.
func (p *PlaceHost) Ready() map[string]int { return *p.ready.Load() }

// publish tells the dispatcher what may run.
func (p *PlaceHost) publish() {
	counts := map[string]int{}
	if p.host != nil && p.host.IsOwner() {
		counts = p.machine.Ready(p.now())
	}
	old := *p.ready.Load()
	isSame := len(old) == len(counts)
	for lane, n := range counts {
		isSame = isSame && old[lane] == n
	}
	if !isSame {
		p.ready.Store(&counts)
		p.environment.Nudge()
	}
}
