package groupclock

import (
	"sync"
	"time"

	"caperwheel/internal/errs"
)

// Word is what an owner has told of its group's time in a term, in milliseconds.
type Word struct {
	Term    int64
	Reading int64
}

// mostReading is the longest time that a group can have counted: a hundred years, in milliseconds.
const mostReading = 100 * 365 * 24 * int64(time.Hour/time.Millisecond)

// mostKept is of how many groups a Keeper keeps the time.
const mostKept = 1 << 16

// Check returns an error of the kind Invalid for a word that no owner can have told.
func (w Word) Check() error {
	if w.Term <= 0 || w.Reading < 0 || w.Reading > mostReading {
		return errs.New(errs.Invalid, "a group's time cannot be %d ms in term %d", w.Reading, w.Term)
	}
	return nil
}

// Keeper keeps the time of groups for their next owners, in a daemon that is not one of their
// replicas: what it was told, and for how long that is ago by its own steady clock. It may be
// used by several goroutines.
//
// Invariant: of each group it has a word of the newest term that it was told of, and of those
// of one term the one that is farthest on.
type Keeper struct {
	mu    sync.Mutex
	words map[int64]keptWord
}

type keptWord struct {
	Word
	heardAt time.Duration
}

// at returns what the group's time is at a moment, by this word.
func (k keptWord) at(now time.Duration) int64 {
	return k.Reading + int64((now-k.heardAt)/time.Millisecond)
}

// Hear takes in a word at a moment of the daemon's own clock. Errors: Invalid for one that no
// owner can have told, Full where the times of too many groups are kept.
func (k *Keeper) Hear(group int64, word Word, now time.Duration) error {
	if err := word.Check(); err != nil {
		return err
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	known, isKnown := k.words[group]
	switch {
	case !isKnown && len(k.words) >= mostKept:
		return errs.New(errs.Full, "the times of %d groups are kept", mostKept)
	case isKnown && (word.Term < known.Term || word.Term == known.Term && word.Reading <= known.at(now)):
		return nil
	}
	if k.words == nil {
		k.words = map[int64]keptWord{}
	}
	k.words[group] = keptWord{word, now}
	return nil
}

// Tell returns what a group's time is at a moment of the daemon's own clock; false where it was
// told nothing of the group.
func (k *Keeper) Tell(group int64, now time.Duration) (Word, bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	known, isKnown := k.words[group]
	if !isKnown {
		return Word{}, false
	}
	return Word{known.Term, known.at(now)}, true
}

// Ownership tells which words an owner may go on from.
type Ownership struct {
	Term   int64 // of the ownership
	Newest int64 // term of the newest command in the log, or a later one
}

// Recall has a new owner go on from what a keeper tells, if that is ahead of its own count, and
// returns by how much it was. It must be called before the owner's first command.
//
// A word counts only if it was told in the ownership of the newest command in the log, or in a
// later one: one of an earlier ownership may be ahead of what that command's spans count from.
// Errors: Invalid, Stale for a word of an earlier ownership, Conflict for one of this or a later.
func (c *Clock) Recall(word Word, own Ownership, now time.Duration) (gained time.Duration, err error) {
	if err := word.Check(); err != nil {
		return 0, err
	}
	switch {
	case word.Term < own.Newest:
		return 0, errs.New(errs.Stale, "a word of term %d, older than the newest command's %d", word.Term, own.Newest)
	case word.Term >= own.Term:
		return 0, errs.New(errs.Conflict, "a word of term %d before the first command of term %d", word.Term, own.Term)
	}
	if more := word.Reading - c.At(now); more > 0 {
		c.Follow(word.Reading, now)
		return time.Duration(more) * time.Millisecond, nil
	}
	return 0, nil
}
