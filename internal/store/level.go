package store

import (
	"time"

	"caperwheel/internal/place"
	"caperwheel/internal/timing"
)

// Level returns the feature level that the place's group has agreed on, or that this owner has proposed.
func (p *PlaceHost) Level() int64 { return max(p.machine.Level(), p.proposedLevel) }

// raiseLevel proposes the highest feature level that all replicas support.
func (p *PlaceHost) raiseLevel(now time.Duration) {
	next := min(place.NewestLevel, p.host.View().CommonLevel)
	if next <= p.machine.Level() || p.proposedLevel >= next && now-p.levelProposedAt < p.environment.Bounds().Of(timing.AnswerTimeout) {
		return
	}
	p.proposedLevel, p.levelProposedAt = next, now
	p.propose(place.RaiseLevel(next), nil)
}
