package deliver

import (
	"context"
	"sync"

	"caperwheel/internal/beat"
	"caperwheel/internal/mishap"
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
		answer(&wire.Told{Kind: string(mishap.KindOf(err))})
		return
	}
	address := req.URL.Host
	if !a.tellers.enter(address) {
		answer(&wire.Told{Kind: string(mishap.Full)})
		return
	}
	a.pool.Submit(func() {
		defer a.tellers.leave(address)
		ctx, cancel := context.WithTimeout(a.ctx, a.d.Bounds.Of(beat.Tell))
		defer cancel()
		got, err := a.client.Send(req.WithContext(ctx), mostAnswer, web.Always)
		out := &wire.Told{}
		if err != nil {
			out.Kind = string(mishap.KindOf(err))
		} else if got.StatusCode != 200 {
			out.Kind = string(mishap.Rejected)
		}
		answer(out)
	})
}
