// Package groupclock implements the time of a replicated group: a count of milliseconds that all replicas share,
// although no two of their clocks are ever compared. Package store stamps the commands of places and parts with it.
//
// An owner stamps each command with the group's time. A span of group time starts and ends with commands, so it may
// start under one owner and end under another. The clock guarantees that between any two committed commands group
// time advances by no more than real time: no span ends early, whichever replica owned the group in between and
// whatever was restarted, suspended or partitioned.
//
// This holds because a replica counts from the newest command that it has applied, and from a time at which its log
// had that command, which is later than the time at which the command was stamped. An owner has applied all commands
// before its own first one, so for each of them its time is behind what real time allows. What it knows of an earlier
// owner's time must not count any more once another owner has committed a command with an earlier group time, as
// spans that start with that command are counted from it.
//
// Group time may fall behind real time: with each change of owner by the time that it took to apply the newest
// command, and, if the new owner was restarted, by the time from that command to its start. Owners therefore commit
// the time while a span is running (see Lag), and pass it to daemons that cache it for later owners (see Cache).
package groupclock

import "time"

// Clock is the group's time at one replica.
//
// Invariants: reading is the group time of a committed command, or later by no more than the real time since that
// command was stamped; it is never behind a command of the same ownership.
type Clock struct {
	reading int64         // milliseconds of group time
	readAt  time.Duration // the corresponding time of this replica's own clock
}

// New returns the clock of a group without commands, as of a time of the replica's own clock.
func New(now time.Duration) Clock { return Clock{readAt: now} }

// At returns the group's time as of a time of the replica's own clock.
func (c *Clock) At(now time.Duration) int64 {
	return c.reading + int64((now-c.readAt)/time.Millisecond)
}

// Reset sets the clock to the group time of the newest command of another ownership, or of a snapshot. It replaces the
// replica's own count also if that was ahead.
func (c *Clock) Reset(millis int64, now time.Duration) {
	c.reading, c.readAt = millis, now
}

// Confirm records a command of this replica's own ownership, which the clock itself has stamped. It does not set the
// clock back to the stamp: a command takes some time to be committed, and that time must not lengthen spans on a busy
// group.
func (c *Clock) Confirm(millis int64, now time.Duration) {
	if millis > c.At(now) {
		c.Reset(millis, now)
	}
}

// Apply records a command with its group time, and a time of the replica's own clock at which the replica's log had the
// command already, so that it was stamped before.
func (c *Clock) Apply(millis int64, isOwn bool, heldAt time.Duration) {
	if isOwn {
		c.Confirm(millis, heldAt)
	} else {
		c.Reset(millis, heldAt)
	}
}

// Lag returns how far the newest command is behind the group's time. This much group time would be lost if a restarted
// owner, which has only its log, took over now.
func (c *Clock) Lag(newest int64, now time.Duration) time.Duration {
	return time.Duration(c.At(now)-newest) * time.Millisecond
}
