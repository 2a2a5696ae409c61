package store

import "time"

// Owned starts or ends an ownership. One of a place that holds messages starts once the place's
// time is known.
func (p *PlaceHost) OwnershipChanged(isOwner bool) {
	p.host.recovery, p.time = nil, newTimeReplication()
	p.isTimeUnknown.Store(false)
	if isOwner && !p.machine.IsIdle() {
		p.beginTimeRecovery()
		return
	}
	p.beginOwnership(isOwner)
}

// begin starts or ends what an owner does. Runs that an earlier owner began are not
// in hand: their adapters are asked before anything is run again.
func (p *PlaceHost) beginOwnership(isOwner bool) {
	p.confirmed, p.nextQueryAt = map[string]runConfirmation{}, map[string]time.Duration{}
	p.notifier, p.absentSince, p.proposedLevel = newNotifier(), nil, 0
	p.resetQuota()
	p.lostSince, p.sendingChildren, p.missingSince = map[string]time.Duration{}, map[string]bool{}, map[string]time.Duration{}
	if !isOwner {
		p.answerWaiters(func(string, waiter) bool { return true })
	}
	if isOwner {
		ownerships.Inc()
		p.machine.RebuildQueue()
		p.logOwnership()
	}
	p.publishReady()
}

// Ready reports what may run now, by lane.
func (p *PlaceHost) Ready() map[string]int { return *p.ready.Load() }

// publishReady tells the dispatcher what may run.
func (p *PlaceHost) publishReady() {
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
		p.environment.Wake()
	}
}
