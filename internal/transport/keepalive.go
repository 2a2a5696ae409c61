package transport

import "time"

// silentTicksLimit is the number of keep-alive ticks within which an idle session sends a frame. A frame
// that was sent right after a tick is followed by another within this many ticks, which is half of the
// connection timeout after which the peer closes a silent session.
const silentTicksLimit = 2

// keepAliveTracker decides when an idle session must send a frame without messages. It does no I/O: the
// writing goroutine reports each frame and each tick to it.
type keepAliveTracker struct{ silentTicks int } // since the newest frame

// frameWritten resets the tracker after a frame.
func (i *keepAliveTracker) frameWritten() { i.silentTicks = 0 }

// tick counts a tick and reports whether a frame without messages is due.
func (i *keepAliveTracker) tick() (isDue bool) {
	i.silentTicks++
	return i.silentTicks >= silentTicksLimit
}

// processStart is the monotonic time at which the process started.
var processStart = time.Now()

// untilTick returns the time to the next tick. The ticks of all sessions of a process coincide, so that one
// wake-up serves all of them: a daemon has two sessions with each of its peers, and most of them are idle.
func untilTick(now, period time.Duration) time.Duration { return period - now%period }
