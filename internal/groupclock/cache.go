package groupclock

import (
	"sync"
	"time"

	"caperwheel/internal/errs"
)

// Reading is what an owner has told of its group's time in a term, in milliseconds.
type Reading struct {
	Term   int64
	Millis int64
}

// maxReadingMillis is the longest time that a group can have counted: a hundred years, in milliseconds.
const maxReadingMillis = 100 * 365 * 24 * int64(time.Hour/time.Millisecond)

// maxGroups is of how many groups a Keeper keeps the time.
const maxGroups = 1 << 16

// Check returns an error of the kind Invalid for a word that no owner can have told.
func (w Reading) Check() error {
	if w.Term <= 0 || w.Millis < 0 || w.Millis > maxReadingMillis {
		return errs.New(errs.Invalid, "a group's time cannot be %d ms in term %d", w.Millis, w.Term)
	}
	return nil
}

// Cache keeps the time of groups for their next owners, in a daemon that is not one of their
// replicas: what it was told, and for how long that is ago by its own steady clock. It may be
// used by several goroutines.
//
// Invariant: of each group it has a word of the newest term that it was told of, and of those
// of one term the one that is farthest on.
type Cache struct {
	mu       sync.Mutex
	readings map[int64]cachedReading
}

type cachedReading struct {
	Reading
	receivedAt time.Duration
}

// timeAt returns what the group's time is at a moment, by this word.
func (k cachedReading) timeAt(now time.Duration) int64 {
	return k.Millis + int64((now-k.receivedAt)/time.Millisecond)
}

// Record takes in a word at a moment of the daemon's own clock. Errors: Invalid for one that no
// owner can have told, Full where the times of too many groups are kept.
func (k *Cache) Record(group int64, reading Reading, now time.Duration) error {
	if err := reading.Check(); err != nil {
		return err
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	known, isKnown := k.readings[group]
	switch {
	case !isKnown && len(k.readings) >= maxGroups:
		return errs.New(errs.Full, "the times of %d groups are kept", maxGroups)
	case isKnown && (reading.Term < known.Term || reading.Term == known.Term && reading.Millis <= known.timeAt(now)):
		return nil
	}
	if k.readings == nil {
		k.readings = map[int64]cachedReading{}
	}
	k.readings[group] = cachedReading{reading, now}
	return nil
}

// Lookup returns what a group's time is at a moment of the daemon's own clock; false where it was
// told nothing of the group.
func (k *Cache) Lookup(group int64, now time.Duration) (Reading, bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	known, isKnown := k.readings[group]
	if !isKnown {
		return Reading{}, false
	}
	return Reading{known.Term, known.timeAt(now)}, true
}

// Ownership tells which words an owner may go on from.
type Ownership struct {
	Term       int64 // of the ownership
	NewestTerm int64 // term of the newest command in the log, or a later one
}

// Recover has a new owner go on from what a keeper tells, if that is ahead of its own count, and
// returns by how much it was. It must be called before the owner's first command.
//
// A word counts only if it was told in the ownership of the newest command in the log, or in a
// later one: one of an earlier ownership may be ahead of what that command's spans count from.
// Errors: Invalid, Stale for a word of an earlier ownership, Conflict for one of this or a later.
func (c *Clock) Recover(reading Reading, own Ownership, now time.Duration) (gained time.Duration, err error) {
	if err := reading.Check(); err != nil {
		return 0, err
	}
	switch {
	case reading.Term < own.NewestTerm:
		return 0, errs.New(errs.Stale, "a word of term %d, older than the newest command's %d", reading.Term, own.NewestTerm)
	case reading.Term >= own.Term:
		return 0, errs.New(errs.Conflict, "a word of term %d before the first command of term %d", reading.Term, own.Term)
	}
	if more := reading.Millis - c.At(now); more > 0 {
		c.Reset(reading.Millis, now)
		return time.Duration(more) * time.Millisecond, nil
	}
	return 0, nil
}
