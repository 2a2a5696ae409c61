package groupclock

import (
	"sync"
	"time"

	"caperwheel/internal/errs"
)

// Reading is a group's time as reported by its owner.
type Reading struct {
	Term   int64 // of the owner
	Millis int64 // group time in milliseconds
}

// maxReadingMillis is the highest group time that is accepted: a hundred years, in milliseconds.
const maxReadingMillis = 100 * 365 * 24 * int64(time.Hour/time.Millisecond)

// maxGroups is the maximum number of groups in a Cache.
const maxGroups = 1 << 16

// Check returns an error of the kind Invalid for a reading that no owner can have reported.
func (w Reading) Check() error {
	if w.Term <= 0 || w.Millis < 0 || w.Millis > maxReadingMillis {
		return errs.New(errs.Invalid, "check a reading of a group's time: %d ms in term %d is out of range", w.Millis, w.Term)
	}
	return nil
}

// Cache keeps the time of groups for their next owners, in a daemon that is not a replica of them: the reported
// readings, and how long ago each was received by the daemon's own monotonic clock. It is safe for concurrent use.
//
// Invariant: of each group it has a reading of the newest reported term, and of the readings of that term the one
// that is furthest ahead.
type Cache struct {
	mu       sync.Mutex
	readings map[int64]cachedReading // by group
}

// cachedReading is a reading with the time at which it was received.
type cachedReading struct {
	Reading
	receivedAt time.Duration
}

// timeAt returns the group's time as of a time of the daemon's clock, according to this reading.
func (k cachedReading) timeAt(now time.Duration) int64 {
	return k.Millis + int64((now-k.receivedAt)/time.Millisecond)
}

// Record records a reading that is received now, by the daemon's own clock. Errors: Invalid for a reading that no
// owner can have reported, Full if the cache has its maximum number of groups.
func (k *Cache) Record(group int64, reading Reading, now time.Duration) error {
	if err := reading.Check(); err != nil {
		return err
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	known, isKnown := k.readings[group]
	switch {
	case !isKnown && len(k.readings) >= maxGroups:
		return errs.New(errs.Full, "record a group's time: the cache is full with %d groups", maxGroups)
	case isKnown && (reading.Term < known.Term || reading.Term == known.Term && reading.Millis <= known.timeAt(now)):
		return nil
	}
	if k.readings == nil {
		k.readings = map[int64]cachedReading{}
	}
	k.readings[group] = cachedReading{reading, now}
	return nil
}

// Lookup returns a group's time as of a time of the daemon's own clock; false if it has no reading of the group.
func (k *Cache) Lookup(group int64, now time.Duration) (Reading, bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	known, isKnown := k.readings[group]
	if !isKnown {
		return Reading{}, false
	}
	return Reading{known.Term, known.timeAt(now)}, true
}

// Ownership determines which readings a new owner may use.
type Ownership struct {
	Term       int64 // term of the new owner
	NewestTerm int64 // term of the newest command in the log, or a later one
}

// Recover sets the clock of a new owner to a cached reading, if that is ahead of its own count, and returns the
// difference. It must be called before the owner's first command.
//
// A reading is valid only if it was reported in the ownership of the newest command in the log, or in a later one: a
// reading of an earlier ownership may be ahead of the time from which the spans of that command are counted. Errors:
// Invalid; Stale for a reading of an earlier ownership; Conflict for one of this ownership or a later one.
func (c *Clock) Recover(reading Reading, own Ownership, now time.Duration) (gained time.Duration, err error) {
	if err := reading.Check(); err != nil {
		return 0, err
	}
	switch {
	case reading.Term < own.NewestTerm:
		return 0, errs.New(errs.Stale, "recover the group's time: the reading is of term %d, before term %d of the newest command", reading.Term, own.NewestTerm)
	case reading.Term >= own.Term:
		return 0, errs.New(errs.Conflict, "recover the group's time: the reading is of term %d, not of a term before the new owner's term %d", reading.Term, own.Term)
	}
	if more := reading.Millis - c.At(now); more > 0 {
		c.Reset(reading.Millis, now)
		return time.Duration(more) * time.Millisecond, nil
	}
	return 0, nil
}
