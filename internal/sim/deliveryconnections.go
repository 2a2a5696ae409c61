package sim

import (
	"fmt"
	"net/http"
)

// dropConnections breaks the worker's connections to one generation of an adapter.
func (w *deliveryWorker) dropConnections(a *deliveryAdapter, generation int) {
	for _, list := range [][]*deliveryRun{w.running, w.waiting} {
		for _, r := range list {
			if r.adapter == a && r.adapterGeneration == generation {
				r.disconnect()
			}
		}
	}
}

// disconnect marks the connection as broken. A queued run is dropped; one in progress continues for up to twice the
// run timeout.
func (r *deliveryRun) disconnect() {
	if !r.isDisconnected {
		r.isDisconnected = true
		r.w.d.After(2*r.w.d.control.settings.runTimeout, r.recordEnd)
	}
}

// findEarlierRun returns what a deduplicating pool knows about a message id: the answer of its first success, or
// that a run is in progress.
func (d *Deliveries) findEarlierRun(pool, id string) (answer []byte, isRunning bool) {
	if !d.control.settings.isDeduplicating {
		return nil, false
	}
	for _, run := range d.runs {
		if run.Id == id && run.Pool == pool && run.Status == http.StatusOK {
			return fmt.Appendf(nil, "%s/%d", run.Token, run.Attempt), false
		}
		isRunning = isRunning || run.Id == id && run.Start > 0 && run.End == 0
	}
	return nil, isRunning
}

// deliveryReceiver receives notifications of ended messages.
type deliveryReceiver struct {
	d              *Deliveries
	notified       map[string]int // number of notifications by message id
	isUnresponsive bool
}

// receiverAddr is the address of the notification receiver.
const receiverAddr = "10.8.8.8:80"
