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

// deliveryWorker is one life of a worker, or the endpoint. It works on some requests at once and
// has some wait.
type deliveryWorker struct {
	d         *Deliveries
	pool      string
	name      string
	address   string
	zone      string
	isUp      bool
	isListed  bool
	isLeaving bool

	isSilent bool // takes requests and says nothing, until it breaks their connections
	isAway   bool // its machine does not answer at all
	isSlow   bool
	isFull   bool
	isFailed bool
	isMute   bool // runs and loses the answers

	running   []*deliveryRun
	waiting   []*deliveryRun
	swallowed []*deliveryRun
}

// What workers bear.
const (
	workerSlots = 2
	workerQueue = 6
)

// deliveryRun is a request at a worker.
//
// Invariant: told is called at most once, and not after the connection broke.
type deliveryRun struct {
	w        *deliveryWorker
	by       *deliveryAdapter
	life     int
	id       string
	attempt  int64
	run      *check.Run
	until    time.Duration // the worker stops then; 0: it does not know
	isOver   bool
	isBroken bool
	told     func(status int, header http.Header, body []byte)
}

// addWorker begins a worker in a zone, at an address of its own.
func (d *Deliveries) addWorker(zone string) *deliveryWorker {
	d.serial++
	w := &deliveryWorker{d: d, pool: "work", name: fmt.Sprint("w", d.serial), address: fmt.Sprintf("10.0.%d.%d:80", d.serial/200, 1+d.serial%200),
		zone: zone, isUp: true, isListed: true}
	d.workers = append(d.workers, w)
	return w
}

func (d *Deliveries) addEndpoint() {
	d.workers = append(d.workers, &deliveryWorker{d: d, pool: "far", name: config.EndpointWorker, address: "10.9.9.9:80", isUp: true, isListed: true})
}

// workerAt finds the worker that listens at an address now.
func (d *Deliveries) workerAt(address string) *deliveryWorker {
	for _, w := range d.workers {
		if w.address == address && w.isUp {
			return w
		}
	}
	return nil
}

func (w *deliveryWorker) state() string {
	if w.isLeaving {
		return "leaving"
	}
	return "live"
}

// take takes a request in.
func (w *deliveryWorker) take(r *deliveryRun, body []byte) {
	r.w = w
	if w.isSilent {
		w.swallowed = append(w.swallowed, r)
		return
	}
	answer, isRunning := w.d.known(w.pool, r.id)
	switch {
	case answer != nil:
		r.tell(http.StatusOK, nil, answer)
	case isRunning:
		r.tell(http.StatusConflict, nil, nil)
	case w.isFull || len(w.waiting) >= workerQueue:
		header := http.Header{}
		if w.d.Rand.IntN(2) == 0 {
			header.Set("Retry-After", "1")
		}
		r.tell(http.StatusServiceUnavailable, header, nil)
	default:
		r.run = &check.Run{Token: string(body), Id: r.id, Attempt: r.attempt, Pool: w.pool, Worker: w.name, Sum: wire.Checksum(body), Adapter: r.by.name}
		w.waiting = append(w.waiting, r)
		w.next()
	}
}

// silence begins or ends a silence.
func (w *deliveryWorker) silence(is bool) {
	if w.isSilent = is; !is {
		w.speak()
	}
}

// speak ends a silence: the connections of what came meanwhile break.
func (w *deliveryWorker) speak() {
	swallowed := w.swallowed
	w.isSilent, w.swallowed = false, nil
	for _, r := range swallowed {
		r.lose()
	}
}

// next begins runs that wait while there is room.
func (w *deliveryWorker) next() {
	for len(w.running) < workerSlots && len(w.waiting) > 0 {
		r := w.waiting[0]
		w.waiting = w.waiting[1:]
		if r.isBroken || r.until > 0 && w.d.now >= r.until {
			continue
		}
		w.running = append(w.running, r)
		w.d.runs = append(w.d.runs, r.run)
		r.run.Start = w.d.now
		took := time.Duration(15+w.d.Rand.IntN(50)) * time.Millisecond
		if w.isSlow {
			took = time.Duration(w.d.Rand.IntN(2500)) * time.Millisecond
		}
		if r.until > 0 && w.d.now+took >= r.until {
			took = r.until - w.d.now
			w.d.After(took, r.stop)
		}
		w.d.Note("run %s/%d at %s of %s, takes %v", r.id, r.attempt, w.name, r.by.name, took)
		w.d.After(took, r.end)
	}
}

// end is the run's own end.
func (r *deliveryRun) end() {
	if r.isOver {
		return
	}
	status, body := http.StatusOK, fmt.Appendf(nil, "%s/%d", r.run.Token, r.attempt)
	switch {
	case r.w.isFailed:
		status = http.StatusInternalServerError
	case bytes.Contains([]byte(r.run.Token), []byte("poison")):
		status = http.StatusUnprocessableEntity
	}
	r.run.Status, r.run.Answer = status, wire.Checksum(body)
	r.over()
	if r.w.isMute {
		r.lose()
		return
	}
	r.tell(status, nil, body)
}

// stop is the end of a run whose time is over at the worker.
func (r *deliveryRun) stop() {
	if !r.isOver {
		r.run.Status = http.StatusGatewayTimeout
		r.over()
		r.tell(http.StatusGatewayTimeout, nil, nil)
	}
}

// over notes that the worker has left the run.
func (r *deliveryRun) over() {
	if r.isOver || r.run == nil || r.run.Start == 0 {
		return
	}
	r.isOver, r.run.End = true, r.w.d.now
	for i, other := range r.w.running {
		if other == r {
			r.w.running = append(r.w.running[:i:i], r.w.running[i+1:]...)
			break
		}
	}
	r.w.next()
}

// tell answers, once, and over a connection that stands.
func (r *deliveryRun) tell(status int, header http.Header, body []byte) {
	told := r.told
	if r.told = nil; told == nil || r.isBroken {
		return
	}
	if header == nil {
		header = http.Header{}
	}
	r.w.d.After(time.Millisecond, func() { told(status, header, body) })
}

// lose breaks the connection under whoever asked.
func (r *deliveryRun) lose() { r.tell(0, nil, nil) }

// crash ends the worker's life: what ran did not end.
func (w *deliveryWorker) crash() {
	w.isUp = false
	w.speak()
	running, waiting := w.running, w.waiting
	w.running, w.waiting = nil, nil
	for _, r := range append(running, waiting...) {
		if r.run.Start > 0 {
			r.isOver, r.run.End = true, w.d.now
		}
		r.isOver = true
		r.lose()
	}
}
