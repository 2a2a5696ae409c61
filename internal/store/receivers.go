package store

import (
	"maps"
	"slices"
	"strings"
	"time"

	"caperwheel/internal/errs"
	"caperwheel/internal/place"
	"caperwheel/internal/timing"
)

// silence is what is known of a receiver that has let words go without an answer.
type silence struct {
	count int // words in turn
	rest  rest
}

// silentAfter is after how many unanswered words in turn a receiver is told one word at a time.
const silentAfter = 3

// addressOf returns the host and port that a URL names, by which its receiver is known.
func addressOf(notify string) string {
	_, rest, _ := strings.Cut(notify, "://")
	if end := strings.IndexAny(rest, "/?#"); end >= 0 {
		rest = rest[:end]
	}
	return rest[strings.LastIndexByte(rest, '@')+1:]
}

// queueOf is what one receiver is still to be told.
type queueOf struct {
	address    string
	room       int  // words that may go to it beside those under way
	isDoubtful bool // it has let its newest word go without an answer
	words      []*place.Message
}

// queues gives the words that may go out now, by receiver, in the order of the addresses from the one behind the
// last that was told on. Receivers share what may be under way, and a silent one is told one word at a time.
func (t *telling) queues(owed []*place.Message, now time.Duration) []*queueOf {
	queues := map[string]*queueOf{}
	for _, e := range owed {
		address := addressOf(e.Notify)
		q := queues[address]
		if q == nil {
			q = &queueOf{address: address, isDoubtful: t.silences[address].count > 0}
			queues[address] = q
		}
		if now >= t.underWay[e.Id].until && now >= t.rests[e.Id].until {
			q.words = append(q.words, e)
		}
	}
	maps.DeleteFunc(t.silences, func(address string, _ silence) bool { return queues[address] == nil })
	for address, q := range queues {
		q.room = t.shareOf(address, len(queues), now)
	}
	for _, word := range t.underWay {
		if q := queues[word.address]; q != nil && now < word.until && !word.isAccepted {
			q.room--
		}
	}
	return t.inTurn(queues)
}

// doubtful counts the words under way to receivers that have let their newest one go without an answer.
func (t *telling) doubtful() int {
	count := 0
	for _, word := range t.underWay {
		if t.silences[word.address].count > 0 && !word.isAccepted {
			count++
		}
	}
	return count
}

// shareOf returns how many words may be under way to one of so many receivers.
func (t *telling) shareOf(address string, receivers int, now time.Duration) int {
	known := t.silences[address]
	switch {
	case now < known.rest.until:
		return 0
	case known.count >= silentAfter:
		return 1
	}
	return max(1, min(mostTelling, mostTellingAll/receivers))
}

func (t *telling) inTurn(queues map[string]*queueOf) []*queueOf {
	out := []*queueOf{}
	for _, address := range slices.Sorted(maps.Keys(queues)) {
		out = append(out, queues[address])
	}
	next, _ := slices.BinarySearchFunc(out, t.last+"\x00", func(q *queueOf, address string) int { return strings.Compare(q.address, address) })
	return slices.Concat(out[next:], out[:next])
}

// noteSilence takes in whether a receiver has answered a word, whatever it said.
func (t *telling) noteSilence(address string, isSilent bool, now time.Duration, bounds timing.Bounds) {
	if !isSilent {
		delete(t.silences, address)
		return
	}
	known := t.silences[address]
	known.count++
	if known.count >= silentAfter {
		known.rest = known.rest.longer(now, bounds)
	}
	t.silences[address] = known
}

// isSilent reports whether a word that was not accepted has had no answer.
func isSilent(kind errs.Kind) bool {
	return kind == errs.DeadlineExceeded || kind == errs.Lost || kind == errs.Truncated
}
