package store

import (
	"time"

	"k8s.io/klog/v2"

	"caperwheel/internal/place"
	"caperwheel/internal/timing"
)

// Level returns the feature level that the place's group has agreed on, or that this owner has proposed.
func (p *PlaceHost) Level() int64 { return max(p.machine.Level(), p.proposedLevel) }

// raiseLevel proposes the highest feature level that all replicas support and that the adapters are ready for.
func (p *PlaceHost) raiseLevel(now time.Duration) {
	if p.environment.HasOlderAdapters() {
		p.olderAdaptersAt = now
	}
	next := min(place.NewestLevel, p.host.View().CommonLevel)
	if next >= place.LevelHomes {
		next = p.nextLevel(now)
	}
	if next <= p.machine.Level() || p.proposedLevel >= next && now-p.levelProposedAt < p.environment.Bounds().Of(timing.AnswerTimeout) {
		return
	}
	if p.proposedLevel < next {
		klog.Infof("place: This store proposes feature level %d for place %d, which is at %d.", next, p.number, p.machine.Level())
	}
	p.proposedLevel, p.levelProposedAt = next, now
	p.propose(place.RaiseLevel(next), nil)
}

// nextLevel returns the level up to which a group may rise whose replicas support LevelHomes. A new group has never told
// an adapter to place messages by the rule of older builds. Any other group binds operation keys to the ids of that rule
// until no message can be remembered that was placed without a claim.
func (p *PlaceHost) nextLevel(now time.Duration) int64 {
	isNew := p.machine.IsNew() && !p.environment.HasOlderAdapters()
	isUpgraded := p.machine.Level() >= place.LevelClaims && p.hasOldRulePassed(now)
	if isNew || isUpgraded {
		return place.LevelHomes
	}
	return place.LevelClaims
}
