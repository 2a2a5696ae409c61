package store

import (
	"context"
	"maps"
	"math"
	"math/rand/v2"
	"sync"
	"time"

	"caperwheel/internal/config"
	"caperwheel/internal/daemon"
	"caperwheel/internal/timing"
	"caperwheel/internal/wire"
)

// DispatcherOptions are the dependencies of a dispatcher. The simulation provides its own.
type DispatcherOptions struct {
	Daemon  *daemon.Daemon
	Configs *config.Cache
	Places  func() []*PlaceHost                                                  // held on this store; a place that is not owned has no ready messages
	Post    func(who wire.Who, ask any, answer func(reply any, err error)) error // sends a request to an adapter
	Start   func(p *PlaceHost, lane string, g SlotGrant) error                   // runs on the place's goroutine
	Rand    *rand.Rand
}

// Dispatcher assigns the ready messages of this store's places to slots on workers. It requests slots from the
// adapters that hold the workers and picks a message only when a slot is granted, so urgency is applied at the last
// moment and no message is bound to a pool that is busy or down. Dispatch does one pass.
//
// Invariants: the open requests of a pool exceed neither its ready messages nor maxSlotRequests; a granted slot is
// used or released; a worker is blocked only for requests to the holder incarnation that asked for the pause.
type Dispatcher struct {
	o    DispatcherOptions
	wake chan struct{}

	mu            sync.Mutex
	requests      map[string]openRequests // open slot requests by pool
	lastRequestId int64
	blockedUntil  map[workerInstance]time.Duration // when each worker may be asked again
	laneScheduler laneScheduler
	candidates    map[string]*candidateTable // by pool
	nextPlace     int
}

// workerInstance is a worker as served by one incarnation of its holder.
type workerInstance struct{ pool, worker, boot string }

// maxSlotRequests limits the open slot requests of a pool.
const maxSlotRequests = 128

// openRequests are the open slot requests by id, with their deadlines. A request that is not answered by its deadline
// no longer counts, since the adapter may have lost it.
type openRequests map[int64]time.Duration

// NewDispatcher returns a dispatcher without open requests.
func NewDispatcher(o DispatcherOptions) *Dispatcher {
	return &Dispatcher{o: o, wake: make(chan struct{}, 1), requests: map[string]openRequests{}, blockedUntil: map[workerInstance]time.Duration{},
		laneScheduler: newLaneScheduler(), candidates: map[string]*candidateTable{}}
}

// expireRequests drops the requests whose deadline has passed, and the pauses that are over.
func (d *Dispatcher) expireRequests(now time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for pool, requests := range d.requests {
		maps.DeleteFunc(requests, func(_ int64, deadline time.Duration) bool {
			if now > deadline {
				slotRequestResults.WithLabelValues(pool, slotUnanswered).Inc()
			}
			return now > deadline
		})
		if len(requests) == 0 {
			delete(d.requests, pool)
		}
	}
	maps.DeleteFunc(d.blockedUntil, func(_ workerInstance, until time.Duration) bool { return now >= until })
}

// Wake schedules a Dispatch soon.
func (d *Dispatcher) Wake() {
	select {
	case d.wake <- struct{}{}:
	default:
	}
}

// run dispatches at intervals and when woken, until ctx ends.
func (d *Dispatcher) run(ctx context.Context) {
	ticker := time.NewTicker(d.o.Daemon.Bounds.Of(timing.DispatchInterval))
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-d.wake:
		}
		d.Dispatch()
	}
}

// readyByLane counts the ready messages by lane.
func (d *Dispatcher) readyByLane() map[string]int {
	out := map[string]int{}
	for _, p := range d.dispatchablePlaces() {
		for lane, n := range p.Ready() {
			out[lane] += n
		}
	}
	return out
}

// Dispatch requests as many slots as there are ready messages.
func (d *Dispatcher) Dispatch() {
	d.expireRequests(d.o.Daemon.Now())
	if !d.o.Daemon.IsFresh() {
		return
	}
	ready, compiled := d.readyByLane(), d.o.Configs.Current()
	need := map[string]int{}
	for lane, n := range ready {
		for _, pool := range compiled.Rules.Lanes[lane].Pools {
			need[pool] += int(math.Ceil(float64(n) * compiled.RelativeShare(lane, pool)))
		}
	}
	d.mu.Lock()
	d.laneScheduler.startRound(compiled.Rules)
	d.mu.Unlock()
	for _, pool := range sortedNames(need) {
		d.mu.Lock()
		n := min(need[pool], maxSlotRequests) - len(d.requests[pool])
		d.mu.Unlock()
		for range n {
			if !d.requestSlot(compiled, pool) {
				break
			}
		}
	}
}

// requestSlot requests one slot of the pool from a worker drawn by weight. It reports false if no worker may be asked.
func (d *Dispatcher) requestSlot(compiled *config.Compiled, pool string) bool {
	chosen, isFound := d.pickWorker(compiled, pool)
	if !isFound {
		slotRequestResults.WithLabelValues(pool, slotNoWorker).Inc()
		return false
	}
	bounds := d.o.Daemon.Bounds
	hold, sentAt := bounds.Of(timing.SlotRequestHold), d.o.Daemon.Now()
	requestId := d.addRequest(pool, sentAt+hold+bounds.Of(timing.Permit))
	done := func(reply any, err error) {
		grant, isGrant := reply.(*wire.Grant)
		if err != nil || !isGrant {
			grant = &wire.Grant{Kind: slotUnanswered, Retry: bounds.Of(timing.RedialDelay).Milliseconds()}
		}
		d.close(chosen.workerInstance, requestId, grant)
		if grant.Kind == "" {
			d.assignSlot(SlotGrant{Pool: pool, Worker: chosen.worker, Holder: chosen.holder, Permit: grant.Permit,
				Until: sentAt + bounds.Of(timing.Permit)/2})
		}
	}
	request := &wire.Want{Pool: pool, Worker: chosen.worker, Hold: hold.Milliseconds()}
	if err := d.o.Post(chosen.holder, request, done); err != nil {
		done(nil, err)
	}
	return true
}

// addRequest records a slot request with its deadline.
func (d *Dispatcher) addRequest(pool string, deadline time.Duration) (requestId int64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.lastRequestId++
	if d.requests[pool] == nil {
		d.requests[pool] = openRequests{}
	}
	d.requests[pool][d.lastRequestId] = deadline
	return d.lastRequestId
}

// close records the result of a slot request.
func (d *Dispatcher) close(worker workerInstance, requestId int64, grant *wire.Grant) {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.requests[worker.pool], requestId)
	if grant.Kind == "" {
		slotRequestResults.WithLabelValues(worker.pool, slotGranted).Inc()
		return
	}
	slotRequestResults.WithLabelValues(worker.pool, grant.Kind).Inc()
	d.blockedUntil[worker] = d.o.Daemon.Now() + time.Duration(grant.Retry)*time.Millisecond
}
