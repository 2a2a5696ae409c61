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

// receiverHealth counts the notifications that a receiver has left unanswered.
type receiverHealth struct {
	unanswered int // notifications in a row
	backoff    backoff
}

// throttleAfterUnanswered is the number of unanswered notifications in a row after which a receiver gets one
// notification at a time.
const throttleAfterUnanswered = 3

// receiverAddress returns the host and port of a URL, which identify the receiver.
func receiverAddress(url string) string {
	_, address, _ := strings.Cut(url, "://")
	if end := strings.IndexAny(address, "/?#"); end >= 0 {
		address = address[:end]
	}
	return address[strings.LastIndexByte(address, '@')+1:]
}

// receiverQueue holds the notifications that are due to one receiver.
type receiverQueue struct {
	address        string
	capacity       int  // further notifications that may be in flight to it
	isUnresponsive bool // it has not answered its newest notification
	messages       []*place.Message
}

// queues returns the due notifications by receiver, sorted by address and beginning after the receiver that was
// notified last. Receivers share the limit on notifications in flight, and an unresponsive one gets one notification
// at a time.
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
	for _, sent := range t.inFlight {
		if q := queues[sent.address]; q != nil && now < sent.until && !sent.isAccepted {
			q.capacity--
		}
	}
	return t.roundRobin(queues)
}

// countUnresponsive counts the notifications in flight to receivers that did not answer their last one.
func (t *notifier) countUnresponsive() int {
	count := 0
	for _, sent := range t.inFlight {
		if t.receivers[sent.address].unanswered > 0 && !sent.isAccepted {
			count++
		}
	}
	return count
}

// concurrencyFor returns how many notifications may be in flight to one of this many receivers.
func (t *notifier) concurrencyFor(address string, receivers int, now time.Duration) int {
	health := t.receivers[address]
	switch {
	case now < health.backoff.until:
		return 0
	case health.unanswered >= throttleAfterUnanswered:
		return 1
	}
	return max(1, min(maxReceiverNotifications, maxNotifications/receivers))
}

// roundRobin sorts the queues by address, beginning after the last address.
func (t *notifier) roundRobin(queues map[string]*receiverQueue) []*receiverQueue {
	out := []*receiverQueue{}
	for _, address := range slices.Sorted(maps.Keys(queues)) {
		out = append(out, queues[address])
	}
	next, _ := slices.BinarySearchFunc(out, t.lastAddress+"\x00", func(q *receiverQueue, address string) int { return strings.Compare(q.address, address) })
	return slices.Concat(out[next:], out[:next])
}

// recordResponse records whether a receiver has answered a notification at all.
func (t *notifier) recordResponse(address string, isUnanswered bool, now time.Duration, bounds timing.Bounds) {
	if !isUnanswered {
		delete(t.receivers, address)
		return
	}
	health := t.receivers[address]
	health.unanswered++
	if health.unanswered >= throttleAfterUnanswered {
		health.backoff = health.backoff.next(now, bounds)
	}
	t.receivers[address] = health
}

// isUnanswered reports whether a notification that was not accepted got no answer.
func isUnanswered(kind errs.Kind) bool {
	return kind == errs.DeadlineExceeded || kind == errs.Lost || kind == errs.Truncated
}
