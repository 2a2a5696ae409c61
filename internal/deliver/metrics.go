package deliver

import "caperwheel/internal/daemon"

// measure emits the gauges of the adapter and its workers.
func (a *Adapter) measure(emit daemon.Emit) {
	emit("deliver_in_hand", "Runs whose result is not durable yet.", float64(a.OpenRunCount()))
	for stage, span := range a.runs.OldestByStage(a.d.Now()) {
		emit("deliver_oldest_seconds", "For how long the run has been in a stage that has been there longest.", span.Seconds(), "stage", string(stage))
	}
	compiled := a.configs.Current()
	for pool, weights := range compiled.Weights {
		for worker, w := range weights.Workers {
			emit("weight", "Published weight of a worker.", w, "pool", pool, "worker", worker)
		}
		for zone, w := range weights.Zones {
			emit("weight_cell", "Published weight of a zone's workers.", w, "pool", pool, "cell", zone)
		}
	}
	a.slots.mu.Lock()
	defer a.slots.mu.Unlock()
	emit("deliver_permits", "Granted slots not used yet.", float64(len(a.slots.permits)))
	for key, h := range a.slots.workers {
		emit("worker_in_use", "Slots given on a worker whose duty is held here.", float64(h.worker.InUse()), "worker", key)
		emit("worker_at_work", "Runs that have begun on a worker.", float64(h.worker.running), "worker", key)
		emit("worker_line", "Runs that have arrived and wait for the worker to end others.", float64(len(h.queue)), "worker", key)
		emit("worker_lead_seconds", "Smoothed time from a slot's grant to its run's arrival.", h.worker.leadMicros/1e6, "worker", key)
		emit("worker_asks", "Asks for a slot that wait.", float64(len(h.requests)), "worker", key)
		for _, state := range []Health{SlowStart, Healthy, Unhealthy} {
			is := 0.0
			if h.worker.Health() == state {
				is = 1
			}
			emit("worker_soundness", "1 for the state that a worker is in.", is, "worker", key, "state", string(state))
		}
	}
}
