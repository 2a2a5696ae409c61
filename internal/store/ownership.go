package store

import "time"

// OwnershipChanged starts or ends an ownership. If the place holds messages, the ownership starts once the place's
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

// beginOwnership resets the owner's state at the start or the end of an ownership. Runs that an earlier owner started
// count as not confirmed, so their adapters are asked before anything is run again.
func (p *PlaceHost) beginOwnership(isOwner bool) {
	p.confirmed, p.nextQueryAt = map[string]runConfirmation{}, map[string]time.Duration{}
	p.notifier, p.absentSince, p.proposedLevel = newNotifier(), nil, 0
	p.olderAdaptersAt = p.environment.Now()
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

// Ready returns the number of ready messages by lane.
func (p *PlaceHost) Ready() map[string]int { return *p.ready.Load() }

// publishReady publishes the ready messages to the dispatcher, and wakes it if they have changed.
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
