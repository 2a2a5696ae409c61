package store

import (
	"time"

	"caperwheel/internal/errs"
	"caperwheel/internal/timing"
)

// When to retry what was refused for lack of room.
const (
	fullRetry     = 2 * time.Second
	diskFullRetry = 30 * time.Second
)

// overload is a reason for which a place accepts nothing new now.
type overload struct {
	kind  errs.Kind
	text  string
	retry time.Duration
}

// overload returns why the place can propose nothing more for callers now; nil if it can.
func (p *PlaceHost) overload() *overload {
	stall := p.environment.Bounds().Of(timing.StallTimeout)
	switch {
	case p.environment.IsMemoryLow():
		return &overload{errs.Full, "the store's memory is nearly used up", fullRetry}
	case p.environment.IsDiskFull():
		return &overload{errs.DiskFull, "the store's disk is nearly full", diskFullRetry}
	case p.environment.IsDiskBusy() || p.host.OldestProposalAge() > stall:
		return &overload{errs.Full, "the place's disks cannot keep up", stall}
	case p.host.PendingProposals() >= maxPendingProposals:
		return &overload{errs.Full, "the place has as many changes under way as it may", fullRetry}
	}
	return nil
}
