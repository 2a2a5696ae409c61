package transport

import "time"

// idleBeats is how many beats a session may pass in silence. A frame that left
// right after a turn is followed by another within so many beats; with Idle beats
// that is half of what the other end waits before it takes the session for dead.
const idleBeats = 2

// idleness tells when a session that has nothing to say must show that it is
// alive. It is pure: whoever writes tells it of each frame and of each tick.
type idleness struct{ beats int } // since the newest frame

// wrote notes a frame.
func (i *idleness) wrote() { i.beats = 0 }

// beat notes a turn, and tells whether a frame without messages is due.
func (i *idleness) beat() (isDue bool) {
	i.beats++
	return i.beats >= idleBeats
}

// begun is when the process began, by its monotonic clock.
var begun = time.Now()

// untilBeat is how long it is to the next beat. The beats of all sessions of a
// process fall together, so that one waking serves them: a daemon has two sessions
// with each of its peers, and most of them are idle.
func untilBeat(now, period time.Duration) time.Duration { return period - now%period }
