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

// receiverHealth is what is known of a receiver that has let words go without an answer.
type receiverHealth struct {
	unanswered int // words in turn
	backoff    backoff
}

// throttleAfterUnanswered is after how many unanswered words in turn a receiver is told one word at a time.
const throttleAfterUnanswered = 3

// receiverAddress returns the host and port that a URL names, by which its receiver is known.
func receiverAddress(notify string) string {
	_, rest, _ := strings.Cut(notify, "://")
	if end := strings.IndexAny(rest, "/?#"); end >= 0 {
		rest = rest[:end]
	}
	return rest[strings.LastIndexByte(rest, '@')+1:]
}

// receiverQueue is what one receiver is still to be told.
type receiverQueue struct {
	address        string
	capacity       int  // words that may go to it beside those under way
	isUnresponsive bool // it has let its newest word go without an answer
	messages       []*place.Message
}

// queues gives the words that may go out now, by receiver, in the order of the addresses from the one behind the
// last that was told on. Receivers share what may be under way, and a silent one is told one word at a time.
func (t *notifier) queues(owed []*place.Message, now time.Duration) []*receiverQueue {
	queues := map[string]*receiverQueue{}
	for _, e := range owed {
		address := receiverAddress(e.Notify)
		q := queues[address]
		if q == nil {
			q = &receiverQueue{address: address, isUnresponsive: t.receivers[address].unanswered > 0}
			queues[address] = q
		}
		if now >= t.inFlight[e.Id].until && now >= t.backoffs[e.Id].until {
			q.messages = append(q.messages, e)
		}
	}
	maps.DeleteFunc(t.receivers, func(address string, _ receiverHealth) bool { return queues[address] == nil })
	for address, q := range queues {
		q.capacity = t.concurrencyFor(address, len(queues), now)
	}
	for _, word := range t.inFlight {
		if q := queues[word.address]; q != nil && now < word.until && !word.isAccepted {
			q.capacity--
		}
	}
	return t.roundRobin(queues)
}

// countUnresponsive counts the words under way to receivers that have let their newest one go without an answer.
func (t *notifier) countUnresponsive() int {
	count := 0
	for _, word := range t.inFlight {
		if t.receivers[word.address].unanswered > 0 && !word.isAccepted {
			count++
		}
	}
	return count
}

// concurrencyFor returns how many words may be under way to one of so many receivers.
func (t *notifier) concurrencyFor(address string, receivers int, now time.Duration) int {
	known := t.receivers[address]
	switch {
	case now < known.backoff.until:
		return 0
	case known.unanswered >= throttleAfterUnanswered:
		return 1
	}
	return max(1, min(maxReceiverNotifications, maxNotifications/receivers))
}

func (t *notifier) roundRobin(queues map[string]*receiverQueue) []*receiverQueue {
	out := []*receiverQueue{}
	for _, address := range slices.Sorted(maps.Keys(queues)) {
		out = append(out, queues[address])
	}
	next, _ := slices.BinarySearchFunc(out, t.lastAddress+"\x00", func(q *receiverQueue, address string) int { return strings.Compare(q.address, address) })
	return slices.Concat(out[next:], out[:next])
}

// recordResponse takes in whether a receiver has answered a word, whatever it said.
func (t *notifier) recordResponse(address string, isSilent bool, now time.Duration, bounds timing.Bounds) {
	if !isSilent {
		delete(t.receivers, address)
		return
	}
	known := t.receivers[address]
	known.unanswered++
	if known.unanswered >= throttleAfterUnanswered {
		known.backoff = known.backoff.next(now, bounds)
	}
	t.receivers[address] = known
}

// isUnanswered reports whether a word that was not accepted has had no answer.
func isUnanswered(kind errs.Kind) bool {
	return kind == errs.DeadlineExceeded || kind == errs.Lost || kind == errs.Truncated
}
