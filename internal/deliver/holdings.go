package deliver

import (
	"net/http"

	"caperwheel/internal/errs"
	"caperwheel/internal/web"
)

// ServeRuns serves the runs of a message that this adapter has in hand.
func (a *Adapter) ServeRuns(w http.ResponseWriter, r *http.Request) {
	runs := a.runs.RunsOf(r.PathValue("id"), a.d.Now())
	if len(runs) == 0 {
		web.WriteError(w, errs.New(errs.Unknown, "no run of %s is in hand", r.PathValue("id")))
		return
	}
	web.WriteJson(w, http.StatusOK, map[string]any{"adapter": a.d.Who.Name, "boot": a.d.Who.Boot, "runs": runs})
}

// Holdings count what an adapter holds for others: each of it is given back, told or ended in time.
type Holdings struct {
	Runs         int // admitted, whose result is not durable yet
	Permits      int // granted slots not used yet
	Slots        int // slots given on workers
	AtWork       int // runs that have begun on workers
	Queued       int // runs that wait for workers to end others
	SlotRequests int // asks for a slot that wait
	Words        int // words about ends, under way or waiting
}

// Holdings returns what the adapter holds now.
func (a *Adapter) Holdings() Holdings {
	out := Holdings{Runs: a.OpenRunCount(), Words: a.notificationLimiter.count()}
	a.slots.mu.Lock()
	defer a.slots.mu.Unlock()
	out.Permits = len(a.slots.permits)
	for _, h := range a.slots.workers {
		out.Slots += int(h.worker.InUse())
		out.AtWork += int(h.worker.running)
		out.Queued += len(h.queue)
		out.SlotRequests += len(h.requests)
	}
	return out
}

// inFlight returns how many words are under way or wait.
func (t *notificationLimiter) count() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := 0
	for _, q := range t.queues {
		out += q.inFlight + len(q.waiting)
	}
	return out
}
