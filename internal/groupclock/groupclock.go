// Package groupclock keeps the time of a replicated group: a count of milliseconds
// that all replicas share, though no two of their clocks are ever compared.
//
// An owner stamps each command with the group's time. A span in group time begins and
// ends with commands, so it may begin under one owner and end under another. What the
// clock promises is that between any two committed commands group time advances by no
// more than real time has: no span ends early, whoever owned the group in between and
// whatever was restarted, frozen or cut off.
//
// That holds because a replica's reading counts from the newest command that it has
// applied, and from a moment at which its log had it, which is later than that at
// which the command was stamped. An owner has applied all commands before its own
// first one, so its time is behind what real time allows for each of them. What it
// keeps of an earlier owner's time must not count any more once another owner's
// command is behind that: spans that begin with that command count from it.
//
// Group time may fall behind real time: with each change of owner by the time that the
// newest command took to be applied, and where the new owner was restarted, by the time
// from that command to its start. Owners therefore commit the time while a span is running (Lag).
package groupclock

import "time"

// Clock is the group's time at one replica.
//
// Invariants: reading is the group's time of a committed command, or later by no more
// than has passed since that command was stamped; it is never behind a command of the
// same ownership.
type Clock struct {
	reading int64         // milliseconds of group time
	readAt  time.Duration // when that was, by this replica's own clock
}

// New returns the clock of a group that has no commands yet, at a moment of the
// replica's own clock.
func New(now time.Duration) Clock { return Clock{readAt: now} }

// At returns the group's time at a moment of the replica's own clock.
func (c *Clock) At(now time.Duration) int64 {
	return c.reading + int64((now-c.readAt)/time.Millisecond)
}

// Reset takes in the newest command of another ownership, or a snapshot, by the
// group's time that it tells: the replica's own count ends with it, also where that
// was ahead.
func (c *Clock) Reset(millis int64, now time.Duration) {
	c.reading, c.readAt = millis, now
}

// Confirm takes in a command of this replica's own ownership, which the clock itself
// has stamped. Time goes on meanwhile: a command takes a while to be committed, and
// spans must not be longer by that on a busy group.
func (c *Clock) Confirm(millis int64, now time.Duration) {
	if millis > c.At(now) {
		c.Reset(millis, now)
	}
}

// Apply takes in a command by the group's time that the newest one tells, and a moment at which the replica's log had the
// command already: it was stamped before that.
func (c *Clock) Apply(millis int64, isOwn bool, heldAt time.Duration) {
	if isOwn {
		c.Confirm(millis, heldAt)
	} else {
		c.Reset(millis, heldAt)
	}
}

// Lag returns by how much the newest command is behind the group's time: so much
// would be lost if an owner took over that has only its log.
func (c *Clock) Lag(newest int64, now time.Duration) time.Duration {
	return time.Duration(c.At(now)-newest) * time.Millisecond
}
