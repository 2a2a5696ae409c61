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

// tellers bound how many words are under way to one address: receivers accept few
// connections. Words beyond that wait here for a while, since all places of a store look for
// ends at the same moments.
//
// Invariant: only addresses with words under way have an entry, and words wait only where
// as many are under way as may be: mostTellers, or one to a receiver that is silent.
type tellers struct {
	mu        sync.Mutex
	addresses map[string]*tellQueue
}

// tellQueue is what one address is told.
type tellQueue struct {
	count   int // under way
	silent  int // words in turn that had no answer
	waiting []func()
}

const (
	mostTellers     = 12
	mostWaitingTell = 256
	silentAfter     = 3 // unanswered words in turn
)

// most returns how many words may be under way: a silent receiver must not hold up the goroutines that others' words need.
func (q *tellQueue) most() int {
	if q.silent >= silentAfter {
		return 1
	}
	return mostTellers
}

// enter has work done now, or once a word before it has left, or reports that too many wait.
func (t *tellers) enter(address string, work func()) bool {
	t.mu.Lock()
	if t.addresses == nil {
		t.addresses = map[string]*tellQueue{}
	}
	q := t.addresses[address]
	if q == nil {
		q = &tellQueue{}
		t.addresses[address] = q
	}
	if q.count >= q.most() {
		mayWait := len(q.waiting) < mostWaitingTell
		if mayWait {
			q.waiting = append(q.waiting, work)
		}
		t.mu.Unlock()
		return mayWait
	}
	q.count++
	t.mu.Unlock()
	work()
	return true
}

// leave notes that a word is no longer under way; those that have waited longest go out.
func (t *tellers) leave(address string) {
	t.mu.Lock()
	q := t.addresses[address]
	q.count--
	next := q.waiting[:min(len(q.waiting), max(0, q.most()-q.count))]
	q.waiting = q.waiting[len(next):]
	if q.count += len(next); q.count == 0 {
		delete(t.addresses, address)
	}
	t.mu.Unlock()
	for _, work := range next {
		work()
	}
}

// hear notes whether a word that is under way had an answer.
func (t *tellers) hear(address string, isAnswered bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	q := t.addresses[address]
	q.silent++
	if isAnswered {
		q.silent = 0
	}
}

// tell tells a URL of an end, once; whether again is for the place's owner.
func (a *Adapter) tell(m *wire.Tell, answer func(any)) {
	req, err := a.codec.Tell(m)
	if err != nil {
		answer(&wire.Told{Kind: string(errs.KindOf(err))})
		return
	}
	address, arrived := req.URL.Host, a.d.Now()
	full := &wire.Told{Kind: string(errs.Full)}
	work := func() {
		a.ports.Tell(func(ctx context.Context) {
			defer a.tellers.leave(address)
			if a.d.Now()-arrived > a.d.Bounds.Of(timing.CallbackTimeout) {
				answer(full) // its turn has come too late: whoever waits for the answer may have given it up
				return
			}
			told := a.tellNow(ctx, m, req)
			a.tellers.hear(address, told.Kind == "" || told.Kind == string(errs.Rejected))
			answer(told)
		})
	}
	if !a.tellers.enter(address, work) {
		answer(full)
	}
}

// tellNow puts a word to its receiver.
func (a *Adapter) tellNow(ctx context.Context, m *wire.Tell, req *http.Request) *wire.Told {
	ctx, cancel := timing.Within(ctx, a.d.Bounds.Of(timing.CallbackTimeout))
	defer cancel()
	mayKeep, check := a.judgeTold(m)
	got, err := a.ports.Send(req.WithContext(ctx), web.Terms{MayKeep: mayKeep})
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

// judgeTold gives what judges whose the answer to a word is.
func (a *Adapter) judgeTold(m *wire.Tell) (mayKeep func(*web.Reply) bool, check func(*web.Reply) error) {
	if a.codec.ToldNames == nil {
		return web.Always, func(*web.Reply) error { return nil }
	}
	return sole(func(answer *http.Response) Naming { return a.codec.ToldNames(m, answer) })
}
