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

// DispatcherOptions are what a dispatcher needs of its store. The simulation gives others.
type DispatcherOptions struct {
	Daemon  *daemon.Daemon
	Configs *config.Cache
	Places  func() []*PlaceHost // held here; one that is not owned has nothing ready
	Post    func(who wire.Who, ask any, answer func(reply any, err error)) error
	Start   func(p *PlaceHost, lane string, g SlotGrant) error // on the place's goroutine
	Rand    *rand.Rand
}

// Dispatcher matches what this store's places have ready with slots on
// workers. It asks the holders of workers for slots and binds a message only
// when a slot is granted, so urgency counts at the last moment and a busy or
// downed pool holds no message. It is driven by Turn.
//
// Invariants: wants of a pool never pass what is ready for it, nor mostWants;
// a granted slot is used or released; a pause lasts no longer than the holder that told it
// holds the worker.
type Dispatcher struct {
	o    DispatcherOptions
	wake chan struct{}

	mu     sync.Mutex
	wants  map[string]asks // asks under way, by pool
	serial int64
	pauses map[seat]time.Duration // not to be asked before
	turns  laneTurns
	tables map[string]*drawTable // by pool
	next   int
}

// seat is a worker as one life of its holder serves it.
type seat struct{ pool, worker, boot string }

const mostWants = 128

// asks are those under way, each with its deadline. One that is not answered by
// then no longer counts: an adapter may have lost it.
type asks map[int64]time.Duration

// NewDispatcher returns a dispatcher that has asked for nothing yet.
func NewDispatcher(o DispatcherOptions) *Dispatcher {
	return &Dispatcher{o: o, wake: make(chan struct{}, 1), wants: map[string]asks{}, pauses: map[seat]time.Duration{},
		turns: newLaneTurns(), tables: map[string]*drawTable{}}
}

// closeLate closes the asks that nobody answered, and forgets pauses that are over.
func (d *Dispatcher) closeLate(now time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for pool, open := range d.wants {
		maps.DeleteFunc(open, func(_ int64, deadline time.Duration) bool {
			if now > deadline {
				slotAsks.WithLabelValues(pool, askUnanswered).Inc()
			}
			return now > deadline
		})
		if len(open) == 0 {
			delete(d.wants, pool)
		}
	}
	maps.DeleteFunc(d.pauses, func(_ seat, until time.Duration) bool { return now >= until })
}

// Nudge has a turn come soon.
func (d *Dispatcher) Nudge() {
	select {
	case d.wake <- struct{}{}:
	default:
	}
}

// run turns until ctx ends.
func (d *Dispatcher) run(ctx context.Context) {
	ticker := time.NewTicker(d.o.Daemon.Bounds.Of(timing.Draw))
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-d.wake:
		}
		d.Turn()
	}
}

// ready sums up what may run, by lane.
func (d *Dispatcher) ready() map[string]int {
	out := map[string]int{}
	for _, p := range d.places() {
		for lane, n := range p.Ready() {
			out[lane] += n
		}
	}
	return out
}

// Turn asks for as many slots as there are messages ready.
func (d *Dispatcher) Turn() {
	d.closeLate(d.o.Daemon.Now())
	if !d.o.Daemon.IsFresh() {
		return
	}
	ready, compiled := d.ready(), d.o.Configs.Current()
	need := map[string]int{}
	for lane, n := range ready {
		for _, pool := range compiled.Rules.Lanes[lane].Pools {
			need[pool] += int(math.Ceil(float64(n) * compiled.Share(lane, pool)))
		}
	}
	d.mu.Lock()
	d.turns.begin(compiled.Rules)
	d.mu.Unlock()
	for _, pool := range sortedNames(need) {
		d.mu.Lock()
		n := min(need[pool], mostWants) - len(d.wants[pool])
		d.mu.Unlock()
		for range n {
			if !d.want(compiled, pool) {
				break
			}
		}
	}
}

// want asks for one slot of the pool, at a worker drawn by weight.
func (d *Dispatcher) want(compiled *config.Compiled, pool string) bool {
	chosen, isFound := d.draw(compiled, pool)
	if !isFound {
		slotAsks.WithLabelValues(pool, askNobody).Inc()
		return false
	}
	bounds := d.o.Daemon.Bounds
	hold, asked := bounds.Of(timing.AskHold), d.o.Daemon.Now()
	serial := d.open(pool, asked+hold+bounds.Of(timing.Permit))
	done := func(reply any, err error) {
		grant, isGrant := reply.(*wire.Grant)
		if err != nil || !isGrant {
			grant = &wire.Grant{Kind: askUnanswered, Retry: bounds.Of(timing.Redial).Milliseconds()}
		}
		d.close(chosen.seat, serial, grant)
		if grant.Kind == "" {
			d.use(SlotGrant{Pool: pool, Worker: chosen.worker, Holder: chosen.holder, Permit: grant.Permit,
				Until: asked + bounds.Of(timing.Permit)/2})
		}
	}
	ask := &wire.Want{Pool: pool, Worker: chosen.worker, Hold: hold.Milliseconds()}
	if err := d.o.Post(chosen.holder, ask, done); err != nil {
		done(nil, err)
	}
	return true
}

// open notes an ask that is to be answered by a deadline.
func (d *Dispatcher) open(pool string, deadline time.Duration) (serial int64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.serial++
	if d.wants[pool] == nil {
		d.wants[pool] = asks{}
	}
	d.wants[pool][d.serial] = deadline
	return d.serial
}

// close notes what came of an ask.
func (d *Dispatcher) close(s seat, serial int64, grant *wire.Grant) {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.wants[s.pool], serial)
	if grant.Kind == "" {
		slotAsks.WithLabelValues(s.pool, askGranted).Inc()
		return
	}
	slotAsks.WithLabelValues(s.pool, grant.Kind).Inc()
	d.pauses[s] = d.o.Daemon.Now() + time.Duration(grant.Retry)*time.Millisecond
}
