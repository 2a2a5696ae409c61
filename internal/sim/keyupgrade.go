package sim

import (
	"time"

	"caperwheel/internal/place"
)

// planUpgrade replaces the stores and adapters one after another by the current build, in a world that starts with an
// older one. Adapters may stay behind for longer than any message is remembered.
func (k *OperationKeys) planUpgrade() {
	if !k.isUpgrade {
		return
	}
	left := len(k.fronts) + keyPlaces*len(k.places[0].stores)
	upgrade := func(latest time.Duration, replace func()) {
		k.After(time.Duration(k.Rand.Int64N(int64(latest))), func() {
			replace()
			if left--; left == 0 {
				k.upgradedAt = k.now
			}
		})
	}
	k.setOlderAdapters(true)
	for _, p := range k.places {
		for _, s := range p.stores {
			upgrade(upgradeTime/3, func() {
				s.kill()
				s.level = place.NewestLevel
				s.start()
			})
		}
	}
	k.After(upgradeTime*5/6, k.rollBack)
	older := len(k.fronts)
	for _, f := range k.fronts {
		upgrade(upgradeTime/2, func() {
			f.restart()
			if older--; older == 0 {
				k.setOlderAdapters(false)
			}
		})
	}
}

// rollBack puts one adapter back to the older build, once all places are homes.
func (k *OperationKeys) rollBack() {
	for _, p := range k.places {
		for _, s := range p.stores {
			if s.place.Level() < place.LevelHomes {
				return
			}
		}
	}
	k.fronts[0].isOlder = true
	k.setOlderAdapters(true)
	k.Tracef("%s is rolled back", k.fronts[0].name)
}

// setOlderAdapters sets whether the stores see adapters of an older build.
func (k *OperationKeys) setOlderAdapters(is bool) {
	for _, p := range k.places {
		p.hasOlderAdapters = is && k.mutant != UnseenAdapters
	}
}
