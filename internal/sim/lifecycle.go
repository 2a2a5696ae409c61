package sim

import "time"

// lifecycle is the state of a simulated process: whether it runs, how often it has been started or stopped,
// and until when it is frozen.
type lifecycle struct {
	isUp        bool
	generation  int           // incremented at each start and stop; work of an earlier generation is dropped
	frozenUntil time.Duration // the process does no work before this time
}

// runWhenThawed runs work now or, if the process is frozen, when the freeze ends. The work is dropped if the
// process has stopped or restarted by then.
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
