package sim

import (
	"bytes"
	"fmt"
	"net/http"
	"time"

	"caperwheel/internal/check"
	"caperwheel/internal/config"
	"caperwheel/internal/wire"
)

// deliveryWorker is one instance of a worker, or the endpoint. It runs up to workerSlots requests at the same time
// and queues up to maxWorkerQueue.
type deliveryWorker struct {
	d         *Deliveries
	pool      string
	name      string
	address   string
	zone      string
	isUp      bool
	isListed  bool
	isLeaving bool

	isSilent      bool // accepts requests without answering, and breaks their connections at the end
	isUnreachable bool // connections to its machine time out
	isSlow        bool
	isFull        bool
	isFailing     bool
	isLossy       bool // runs requests but loses their replies

	running    []*deliveryRun
	waiting    []*deliveryRun
	unanswered []*deliveryRun
}

// Capacity of a worker.
const (
	workerSlots    = 2
	maxWorkerQueue = 6
)

// deliveryRun is a request at a worker.
//
// Invariant: onReply is called at most once, and never after the connection broke.
type deliveryRun struct {
	w                 *deliveryWorker
	adapter           *deliveryAdapter
	adapterGeneration int
	id                string
	attempt           int64
	run               *check.Run
	deadline          time.Duration // the worker ends the run then; 0 if the request carries none
	hasEnded          bool
	isDisconnected    bool
	onReply           func(status int, header http.Header, body []byte)
}

// addWorker adds a worker in a zone, at a new address.
func (d *Deliveries) addWorker(zone string) *deliveryWorker {
	d.serial++
	w := &deliveryWorker{d: d, pool: "work", name: fmt.Sprint("w", d.serial), address: fmt.Sprintf("10.0.%d.%d:80", d.serial/200, 1+d.serial%200),
		zone: zone, isUp: true, isListed: true}
	d.workers = append(d.workers, w)
	return w
}

// addEndpoint adds the endpoint of the pool "far".
func (d *Deliveries) addEndpoint() {
	d.workers = append(d.workers, &deliveryWorker{d: d, pool: "far", name: config.EndpointWorker, address: "10.9.9.9:80", isUp: true, isListed: true})
}

// workerAt returns the running worker at an address; nil if there is none.
func (d *Deliveries) workerAt(address string) *deliveryWorker {
	for _, w := range d.workers {
		if w.address == address && w.isUp {
			return w
		}
	}
	return nil
}

// state returns the worker's state for the list of workers.
func (w *deliveryWorker) state() string {
	if w.isLeaving {
		return "leaving"
	}
	return "live"
}

// accept queues a request, or answers at once if it is a repeated one or the worker is full.
func (w *deliveryWorker) accept(r *deliveryRun, body []byte) {
	r.w = w
	if w.isSilent {
		w.unanswered = append(w.unanswered, r)
		return
	}
	answer, isRunning := w.d.findEarlierRun(w.pool, r.id)
	switch {
	case answer != nil:
		r.reply(http.StatusOK, nil, answer)
	case isRunning:
		r.reply(http.StatusConflict, nil, nil)
	case w.isFull || len(w.waiting) >= maxWorkerQueue:
		header := http.Header{}
		if w.d.Rand.IntN(2) == 0 {
			header.Set("Retry-After", "1")
		}
		r.reply(http.StatusServiceUnavailable, header, nil)
	default:
		r.run = &check.Run{Token: string(body), Id: r.id, Attempt: r.attempt, Pool: w.pool, Worker: w.name, BodySum: wire.Checksum(body), Adapter: r.adapter.name}
		w.waiting = append(w.waiting, r)
		w.startQueued()
	}
}

// setSilent starts or ends a time in which requests get no answer.
func (w *deliveryWorker) setSilent(isOn bool) {
	if w.isSilent = isOn; !isOn {
		w.endSilence()
	}
}

// endSilence breaks the connections of all requests that came during the silence.
func (w *deliveryWorker) endSilence() {
	unanswered := w.unanswered
	w.isSilent, w.unanswered = false, nil
	for _, r := range unanswered {
		r.breakConnection()
	}
}

// startQueued starts queued runs while slots are free; it drops those that are disconnected or past their deadline.
func (w *deliveryWorker) startQueued() {
	for len(w.running) < workerSlots && len(w.waiting) > 0 {
		r := w.waiting[0]
		w.waiting = w.waiting[1:]
		if r.isDisconnected || r.deadline > 0 && w.d.now >= r.deadline {
			continue
		}
		w.running = append(w.running, r)
		w.d.runs = append(w.d.runs, r.run)
		r.run.Start = w.d.now
		took := time.Duration(15+w.d.Rand.IntN(50)) * time.Millisecond
		if w.isSlow {
			took = time.Duration(w.d.Rand.IntN(2500)) * time.Millisecond
		}
		if r.deadline > 0 && w.d.now+took >= r.deadline {
			took = r.deadline - w.d.now
			w.d.After(took, r.timeOut)
		}
		w.d.Tracef("run %s/%d at %s of %s, takes %v", r.id, r.attempt, w.name, r.adapter.name, took)
		w.d.After(took, r.complete)
	}
}

// complete ends a run with its result.
func (r *deliveryRun) complete() {
	if r.hasEnded {
		return
	}
	status, body := http.StatusOK, fmt.Appendf(nil, "%s/%d", r.run.Token, r.attempt)
	switch {
	case r.w.isFailing:
		status = http.StatusInternalServerError
	case bytes.Contains([]byte(r.run.Token), []byte("poison")):
		status = http.StatusUnprocessableEntity
	}
	r.run.Status, r.run.AnswerSum = status, wire.Checksum(body)
	r.recordEnd()
	if r.w.isLossy {
		r.breakConnection()
		return
	}
	r.reply(status, nil, body)
}

// timeOut ends a run at its deadline.
func (r *deliveryRun) timeOut() {
	if !r.hasEnded {
		r.run.Status = http.StatusGatewayTimeout
		r.recordEnd()
		r.reply(http.StatusGatewayTimeout, nil, nil)
	}
}

// recordEnd records the end of the run and frees its slot.
func (r *deliveryRun) recordEnd() {
	if r.hasEnded || r.run == nil || r.run.Start == 0 {
		return
	}
	r.hasEnded, r.run.End = true, r.w.d.now
	for i, other := range r.w.running {
		if other == r {
			r.w.running = append(r.w.running[:i:i], r.w.running[i+1:]...)
			break
		}
	}
	r.w.startQueued()
}

// reply answers the request once, if the connection still exists.
func (r *deliveryRun) reply(status int, header http.Header, body []byte) {
	told := r.onReply
	if r.onReply = nil; told == nil || r.isDisconnected {
		return
	}
	if header == nil {
		header = http.Header{}
	}
	r.w.d.After(time.Millisecond, func() { told(status, header, body) })
}

// breakConnection reports a broken connection to the adapter in place of a reply.
func (r *deliveryRun) breakConnection() { r.reply(0, nil, nil) }

// crash ends the worker; its runs end without a result.
func (w *deliveryWorker) crash() {
	w.isUp = false
	w.endSilence()
	running, waiting := w.running, w.waiting
	w.running, w.waiting = nil, nil
	for _, r := range append(running, waiting...) {
		if r.run.Start > 0 {
			r.hasEnded, r.run.End = true, w.d.now
		}
		r.hasEnded = true
		r.breakConnection()
	}
}
