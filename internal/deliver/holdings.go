package deliver

import (
	"net/http"

	"caperwheel/internal/errs"
	"caperwheel/internal/web"
)

// ServeStory serves the runs of a message that this adapter has in hand.
func (a *Adapter) ServeStory(w http.ResponseWriter, r *http.Request) {
	runs := a.book.Story(r.PathValue("id"), a.d.Now())
	if len(runs) == 0 {
		web.Fail(w, errs.New(errs.Unknown, "no run of %s is in hand", r.PathValue("id")))
		return
	}
	web.Answer(w, http.StatusOK, map[string]any{"adapter": a.d.Who.Name, "boot": a.d.Who.Boot, "runs": runs})
}

// Holdings count what an adapter holds for others: each of it is given back, told or ended in time.
type Holdings struct {
	Runs    int // admitted, whose result is not durable yet
	Permits int // granted slots not used yet
	Slots   int // slots given on workers
	AtWork  int // runs that have begun on workers
	InLine  int // runs that wait for workers to end others
	Asks    int // asks for a slot that wait
	Words   int // words about ends, under way or waiting
}

// Holdings returns what the adapter holds now.
func (a *Adapter) Holdings() Holdings {
	out := Holdings{Runs: a.InHand(), Words: a.tellers.count()}
	a.slots.mu.Lock()
	defer a.slots.mu.Unlock()
	out.Permits = len(a.slots.permits)
	for _, h := range a.slots.workers {
		out.Slots += int(h.worker.InUse())
		out.AtWork += int(h.worker.atWork)
		out.InLine += len(h.line)
		out.Asks += len(h.asks)
	}
	return out
}

// count returns how many words are under way or wait.
func (t *tellers) count() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := 0
	for _, q := range t.addresses {
		out += q.count + len(q.waiting)
	}
	return out
}
