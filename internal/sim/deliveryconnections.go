package sim

import (
	"fmt"
	"net/http"
)

// dropConnections: the connections of a life of an adapter have broken.
func (w *deliveryWorker) dropConnections(a *deliveryAdapter, generation int) {
	for _, list := range [][]*deliveryRun{w.running, w.waiting} {
		for _, r := range list {
			if r.adapter == a && r.adapterLife == generation {
				r.disconnect()
			}
		}
	}
}

// hangUp: the connection is gone. What waits is dropped, and what runs goes on for a while.
func (r *deliveryRun) disconnect() {
	if !r.isDisconnected {
		r.isDisconnected = true
		r.w.d.After(2*r.w.d.control.settings.runTimeout, r.recordEnd)
	}
}

// findEarlierRun tells what a pool that knows a run again has of an id: the answer of its first success, or
// that a run goes on.
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

// deliveryReceiver is told of ends.
type deliveryReceiver struct {
	d              *Deliveries
	notified       map[string]int // by id
	isUnresponsive bool
}

const receiverAddr = "10.8.8.8:80"
