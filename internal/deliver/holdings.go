package deliver

import (
	"net/http"

	"caperwheel/internal/errs"
	"caperwheel/internal/web"
)

// ServeRuns serves the status of a message's open runs on this adapter.
func (a *Adapter) ServeRuns(w http.ResponseWriter, r *http.Request) {
	runs := a.runs.RunsOf(r.PathValue("id"), a.d.Now())
	if len(runs) == 0 {
		web.WriteError(w, errs.New(errs.Unknown, "message %s has no open run on this adapter", r.PathValue("id")))
		return
	}
	web.WriteJson(w, http.StatusOK, map[string]any{"adapter": a.d.Who.Name, "boot": a.d.Who.Boot, "runs": runs})
}

// Holdings counts what an adapter holds on behalf of others. All counts return to 0 when traffic ends.
type Holdings struct {
	Runs         int // admitted, result not durable yet
	Permits      int // granted slots without a run yet
	Slots        int // granted slots, with a run or not
	AtWork       int // runs that have begun on workers
	Queued       int // runs that wait for capacity on their workers
	SlotRequests int // slot requests that wait
	Words        int // notifications in flight or waiting
}

// Holdings returns the adapter's current holdings.
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

// count returns how many notifications are in flight or wait.
func (t *notificationLimiter) count() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := 0
	for _, q := range t.queues {
		out += q.inFlight + len(q.waiting)
	}
	return out
}
