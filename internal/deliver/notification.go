package deliver

import (
	"context"
	"net/http"
	"sync"

	"caperwheel/internal/errs"
	"caperwheel/internal/timing"
	"caperwheel/internal/web"
	"caperwheel/internal/wire"
)

// notificationLimiter bounds the notifications in flight per address, since receivers accept few connections. Further
// notifications queue here for a while, because all places of a store look for ended messages at the same moments.
//
// Invariant: only addresses with notifications in flight have an entry, and notifications queue only while as many are
// in flight as allowed: maxNotificationsInFlight, or one to an unresponsive receiver.
type notificationLimiter struct {
	mu     sync.Mutex
	queues map[string]*notificationQueue
}

// notificationQueue is the state of one receiver address.
type notificationQueue struct {
	inFlight   int
	unanswered int // consecutive notifications without a reply
	waiting    []func()
}

// Limits per receiver address.
const (
	maxNotificationsInFlight = 12
	maxNotificationsWaiting  = 256
	unansweredLimit          = 3 // consecutive notifications without a reply after which a receiver counts as unresponsive
)

// maxInFlight returns how many notifications may be in flight. An unresponsive receiver must not occupy the goroutines
// that notifications to other receivers need.
func (q *notificationQueue) maxInFlight() int {
	if q.unanswered >= unansweredLimit {
		return 1
	}
	return maxNotificationsInFlight
}

// start calls work now, or once an earlier notification has finished. It returns false if too many wait.
func (t *notificationLimiter) start(address string, work func()) bool {
	t.mu.Lock()
	if t.queues == nil {
		t.queues = map[string]*notificationQueue{}
	}
	q := t.queues[address]
	if q == nil {
		q = &notificationQueue{}
		t.queues[address] = q
	}
	if q.inFlight >= q.maxInFlight() {
		mayWait := len(q.waiting) < maxNotificationsWaiting
		if mayWait {
			q.waiting = append(q.waiting, work)
		}
		t.mu.Unlock()
		return mayWait
	}
	q.inFlight++
	t.mu.Unlock()
	work()
	return true
}

// finish records that a notification is no longer in flight, and starts those that have waited longest.
func (t *notificationLimiter) finish(address string) {
	t.mu.Lock()
	q := t.queues[address]
	q.inFlight--
	next := q.waiting[:min(len(q.waiting), max(0, q.maxInFlight()-q.inFlight))]
	q.waiting = q.waiting[len(next):]
	if q.inFlight += len(next); q.inFlight == 0 {
		delete(t.queues, address)
	}
	t.mu.Unlock()
	for _, work := range next {
		work()
	}
}

// recordReply records whether a notification in flight was answered.
func (t *notificationLimiter) recordReply(address string, isAnswered bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	q := t.queues[address]
	q.unanswered++
	if isAnswered {
		q.unanswered = 0
	}
}

// handleTell sends a completion notification, at most once; the place's owner decides on retries.
func (a *Adapter) handleTell(m *wire.Tell, answer func(any)) {
	req, err := a.codec.NewNotification(m)
	if err != nil {
		answer(&wire.Told{Kind: string(errs.KindOf(err))})
		return
	}
	address, arrived := req.URL.Host, a.d.Now()
	full := &wire.Told{Kind: string(errs.Full)}
	work := func() {
		a.environment.RunNotification(func(ctx context.Context) {
			defer a.notificationLimiter.finish(address)
			if a.d.Now()-arrived > a.d.Bounds.Of(timing.CallbackTimeout) {
				answer(full) // too late: the store may have stopped waiting for the answer
				return
			}
			told := a.sendNotification(ctx, m, req)
			a.notificationLimiter.recordReply(address, told.Kind == "" || told.Kind == string(errs.Rejected))
			answer(told)
		})
	}
	if !a.notificationLimiter.start(address, work) {
		answer(full)
	}
}

// sendNotification sends a notification to its receiver and returns whether it was accepted.
func (a *Adapter) sendNotification(ctx context.Context, m *wire.Tell, req *http.Request) *wire.Told {
	ctx, cancel := timing.Within(ctx, a.d.Bounds.Of(timing.CallbackTimeout))
	defer cancel()
	canReuse, check := a.notificationReplyCheck(m)
	reply, err := a.environment.Send(req.WithContext(ctx), web.SendOptions{CanReuse: canReuse})
	if err == nil {
		err = check(reply)
	}
	switch {
	case err != nil:
		return &wire.Told{Kind: string(errs.KindOf(err))}
	case reply.StatusCode != http.StatusOK:
		return &wire.Told{Kind: string(errs.Rejected)}
	}
	return &wire.Told{}
}

// notificationReplyCheck returns the checks that tell whether a reply belongs to a notification; see replyChecks.
func (a *Adapter) notificationReplyCheck(m *wire.Tell) (canReuse func(*web.Reply) bool, check func(*web.Reply) error) {
	if a.codec.MatchNotificationReply == nil {
		return web.AlwaysReuse, func(*web.Reply) error { return nil }
	}
	return replyChecks(func(answer *http.Response) ReplyMatch { return a.codec.MatchNotificationReply(m, answer) })
}
