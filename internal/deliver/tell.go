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

// tellers bound how many words are under way to one address: receivers accept
// few connections.
type tellers struct {
	mu    sync.Mutex
	count map[string]int
}

const mostTellers = 12

func (t *tellers) enter(address string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.count == nil {
		t.count = map[string]int{}
	}
	if t.count[address] >= mostTellers {
		return false
	}
	t.count[address]++
	return true
}

func (t *tellers) leave(address string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.count[address]--; t.count[address] == 0 {
		delete(t.count, address)
	}
}

// tell tells a URL of an end, once; whether again is for the place's owner.
func (a *Adapter) tell(m *wire.Tell, answer func(any)) {
	req, err := a.manner.Tell(m)
	if err != nil {
		answer(&wire.Told{Kind: string(errs.KindOf(err))})
		return
	}
	address := req.URL.Host
	if !a.tellers.enter(address) {
		answer(&wire.Told{Kind: string(errs.Full)})
		return
	}
	a.pool.Submit(func() {
		defer a.tellers.leave(address)
		ctx, cancel := context.WithTimeout(a.ctx, a.d.Bounds.Of(timing.CallbackTimeout))
		defer cancel()
		mayKeep, check := a.judgeTold(m)
		got, err := a.client.Send(req.WithContext(ctx), web.Terms{Most: mostAnswer, MayKeep: mayKeep})
		if err == nil {
			err = check(got)
		}
		out := &wire.Told{}
		if err != nil {
			out.Kind = string(errs.KindOf(err))
		} else if got.StatusCode != 200 {
			out.Kind = string(errs.Rejected)
		}
		answer(out)
	})
}

// judgeTold gives what judges whose the answer to a word is.
func (a *Adapter) judgeTold(m *wire.Tell) (mayKeep func(*web.Reply) bool, check func(*web.Reply) error) {
	if a.manner.ToldNames == nil {
		return web.Always, func(*web.Reply) error { return nil }
	}
	return sole(func(answer *http.Response) Naming { return a.manner.ToldNames(m, answer) })
}
