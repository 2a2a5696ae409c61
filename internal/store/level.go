package store

import (
	"time"

	"caperwheel/internal/place"
	"caperwheel/internal/timing"
)

// Level returns the feature level that the place's group has agreed on, or that this owner has
// proposed.
func (p *PlaceHost) Level() int64 { return max(p.machine.Level(), p.raising) }

// raiseLevel proposes the newest feature level that all replicas can apply, once they can.
func (p *PlaceHost) raiseLevel(now time.Duration) {
	next := min(place.NewestLevel, p.host.View().Level)
	if next <= p.machine.Level() || p.raising >= next && now-p.raisedAt < p.environment.Bounds().Of(timing.AnswerTimeout) {
		return
	}
	p.raising, p.raisedAt = next, now
	p.propose(place.Raise(next), nil)
}
