package transport

import "time"

// silentTicksLimit is how many beats a session may pass in silence. A frame that left
// right after a turn is followed by another within so many beats; with Idle beats
// that is half of what the other end waits before it takes the session for dead.
const silentTicksLimit = 2

// keepAliveTracker tells when a session that has nothing to say must show that it is
// alive. It is pure: whoever writes tells it of each frame and of each tick.
type keepAliveTracker struct{ silentTicks int } // since the newest frame

// frameWritten notes a frame.
func (i *keepAliveTracker) frameWritten() { i.silentTicks = 0 }

// tick notes a turn, and tells whether a frame without messages is due.
func (i *keepAliveTracker) tick() (isDue bool) {
	i.silentTicks++
	return i.silentTicks >= silentTicksLimit
}

// processStart is when the process began, by its monotonic clock.
var processStart = time.Now()

// untilTick is how long it is to the next beat. The beats of all sessions of a
// process fall together, so that one waking serves them: a daemon has two sessions
// with each of its peers, and most of them are idle.
func untilTick(now, period time.Duration) time.Duration { return period - now%period }
