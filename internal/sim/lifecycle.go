package sim

import "time"

// lifecycle is a daemon's life under simulation.
type lifecycle struct {
	isUp   bool
	life   int
	frozen time.Duration // nothing is done before this
}

// whenThawed does work now, or when the freeze ends; never in another life.
func (w *World) whenThawed(b *lifecycle, work func()) {
	life := b.life
	w.After(max(0, b.frozen-w.now), func() {
		if b.isUp && b.life == life {
			if w.now < b.frozen {
				w.whenThawed(b, work)
				return
			}
			work()
		}
	})
}
