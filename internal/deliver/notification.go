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

// notificationLimiter bound how many words are under way to one address: receivers accept few
// connections. Words beyond that wait here for a while, since all places of a store look for
// ends at the same moments.
//
// Invariant: only addresses with words under way have an entry, and words wait only where
// as many are under way as may be: maxNotificationsInFlight, or one to a receiver that is silent.
type notificationLimiter struct {
	mu     sync.Mutex
	queues map[string]*notificationQueue
}

// notificationQueue is what one address is told.
type notificationQueue struct {
	inFlight   int // under way
	unanswered int // words in turn that had no answer
	waiting    []func()
}

const (
	maxNotificationsInFlight = 12
	maxNotificationsWaiting  = 256
	unansweredLimit          = 3 // unanswered words in turn
)

// most returns how many words may be under way: a silent receiver must not hold up the goroutines that others' words need.
func (q *notificationQueue) maxInFlight() int {
	if q.unanswered >= unansweredLimit {
		return 1
	}
	return maxNotificationsInFlight
}

// enter has work done now, or once a word before it has left, or reports that too many wait.
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

// leave notes that a word is no longer under way; those that have waited longest go out.
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

// hear notes whether a word that is under way had an answer.
func (t *notificationLimiter) recordReply(address string, isAnswered bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	q := t.queues[address]
	q.unanswered++
	if isAnswered {
		q.unanswered = 0
	}
}

// handleTell tells a URL of an end, once; whether again is for the place's owner.
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
				answer(full) // its turn has come too late: whoever waits for the answer may have given it up
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

// sendNotification puts a word to its receiver.
func (a *Adapter) sendNotification(ctx context.Context, m *wire.Tell, req *http.Request) *wire.Told {
	ctx, cancel := timing.Within(ctx, a.d.Bounds.Of(timing.CallbackTimeout))
	defer cancel()
	mayKeep, check := a.notificationReplyCheck(m)
	got, err := a.environment.Send(req.WithContext(ctx), web.SendOptions{CanReuse: mayKeep})
	if err == nil {
		err = check(got)
	}
	switch {
	case err != nil:
		return &wire.Told{Kind: string(errs.KindOf(err))}
	case got.StatusCode != http.StatusOK:
		return &wire.Told{Kind: string(errs.Rejected)}
	}
	return &wire.Told{}
}

// notificationReplyCheck gives what judges whose the answer to a word is.
func (a *Adapter) notificationReplyCheck(m *wire.Tell) (mayKeep func(*web.Reply) bool, check func(*web.Reply) error) {
	if a.codec.MatchNotificationReply == nil {
		return web.AlwaysReuse, func(*web.Reply) error { return nil }
	}
	return replyChecks(func(answer *http.Response) ReplyMatch { return a.codec.MatchNotificationReply(m, answer) })
}
