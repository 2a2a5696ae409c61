package store

import "time"

// Bounds of a window, and by how much it shrinks.
const (
	mostWants    = 128
	leastWants   = 4
	windowShrink = 0.5
)

// askWindow bounds how many asks for slots of a pool are under way at once, as a sender's
// window bounds what is on a link: one more for each that is granted, and less, once in the
// time for which an ask may wait, where asks find no slot. So under a backlog about as many
// wait at the holders as are granted while they wait, however many stores ask.
//
// Invariant: size stays from leastWants to mostWants.
type askWindow struct {
	size     float64
	shrankAt time.Duration
}

func newAskWindow() *askWindow { return &askWindow{size: mostWants} }

// limit is how many asks may be under way.
func (w *askWindow) limit() int { return int(w.size) }

// granted notes an ask that got its slot.
func (w *askWindow) granted() { w.size = min(mostWants, w.size+1) }

// lapsed notes an ask that waited for a slot in vain.
func (w *askWindow) lapsed(now, hold time.Duration) {
	if now-w.shrankAt < hold {
		return
	}
	w.size, w.shrankAt = max(leastWants, w.size*windowShrink), now
}
