package sim

import "time"

// lifecycle is a daemon's life under simulation.
type lifecycle struct {
	isUp        bool
	generation  int
	frozenUntil time.Duration // nothing is done before this
}

// runWhenThawed does work now, or when the freeze ends; never in another life.
func (w *World) runWhenThawed(b *lifecycle, work func()) {
	generation := b.generation
	w.After(max(0, b.frozenUntil-w.now), func() {
		if b.isUp && b.generation == generation {
			if w.now < b.frozenUntil {
				w.runWhenThawed(b, work)
				return
			}
			work()
		}
	})
}
