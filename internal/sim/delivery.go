package sim

import (
	"context"
	"fmt"
	"slices"
	"time"

	"caperwheel/internal/check"
	"caperwheel/internal/errs"
	"caperwheel/internal/timing"
	"caperwheel/internal/transport"
	"caperwheel/internal/wire"
)

// Deliveries simulates the whole path of a message: callers, places with their groups, the dispatchers of stores,
// the slots, queues, runs and notifications of adapters, workers and notification receivers. All code of the system
// on that path is the production code. Sessions and duties are those of one manager, which follows the parts over
// simulated links; the simulation kind "control" covers how parts and managers are replicated.
type Deliveries struct {
	*World
	H               *check.History
	control         *deliveryControl
	parts           *deliveryParts
	stores          []*deliveryStore
	adapters        []*deliveryAdapter
	workers         []*deliveryWorker
	receiver        *deliveryReceiver
	serial          int
	runs            []*check.Run
	links           map[string]*link // pending calls, by "caller>callee"
	Stranded        []string         // messages and holdings that made no progress after all faults were healed
	storesDownUntil time.Duration    // no store restarts before this
}

// Layout of the simulated deliveries.
const (
	deliveryPlaces   = 2
	deliveryStores   = 3
	deliveryAdapters = 4
	deliveryWorkers  = 5
	controlName      = "ctl"
	partsName        = "parts"
	callerName       = "caller"
)

// link holds the pending calls from one daemon to another.
type link struct{ pending []*pendingCall }

// pendingCall is a call without a reply.
//
// Invariant: done is called at most once.
type pendingCall struct {
	link *link
	done func(reply any, err error)
}

// finish removes the call and passes on its reply, unless it was finished before.
func (c *pendingCall) finish(reply any, err error) {
	if at := slices.Index(c.link.pending, c); at >= 0 {
		c.link.pending = slices.Delete(c.link.pending, at, at+1)
		c.done(reply, err)
	}
}

// peer is a daemon that can be sent requests.
type peer interface {
	address() string
	lifecycleState() *lifecycle
	handle(ask any, answer func(any))
}

// NewDeliveries creates all daemons and starts them.
func NewDeliveries(w *World) *Deliveries {
	d := &Deliveries{World: w, H: check.NewHistory(), links: map[string]*link{}}
	d.receiver = &deliveryReceiver{d: d, notified: map[string]int{}}
	d.parts = newDeliveryParts(d)
	d.control = newDeliveryControl(d)
	for i := range deliveryStores {
		d.stores = append(d.stores, newDeliveryStore(d, fmt.Sprintf("s%d", i+1), zoneOf(i)))
	}
	for i := range deliveryAdapters {
		d.adapters = append(d.adapters, newDeliveryAdapter(d, fmt.Sprintf("a%d", i+1), zoneOf(i)))
	}
	for i := range deliveryWorkers {
		d.addWorker(zoneOf(i))
	}
	d.addEndpoint()
	d.control.start()
	for _, s := range d.stores {
		s.start()
	}
	for _, a := range d.adapters {
		a.start()
	}
	return d
}

func zoneOf(i int) string { return []string{"z1", "z2", "z3"}[i%3] }

// peerAt returns the daemon that listens at an address.
func (d *Deliveries) peerAt(addr string) (peer, bool) {
	if addr == d.control.address() {
		return d.control, true
	}
	if addr == d.parts.address() {
		return d.parts, true
	}
	for _, s := range d.stores {
		if s.address() == addr {
			return s, true
		}
	}
	for _, a := range d.adapters {
		if a.address() == addr {
			return a, true
		}
		if a.agentAddr() == addr {
			return a.agent, true
		}
	}
	return nil, false
}

// sendRequest sends a request to an address and passes the reply to done, unless the caller's generation has ended
// by then. If the request or its reply is lost, done gets an error of kind Lost after the connection timeout, as
// from a silent session. If no process listens at the address, done gets an unsent error.
func (d *Deliveries) sendRequest(from string, caller *lifecycle, addr string, request any, done func(reply any, err error)) {
	to, isKnown := d.peerAt(addr)
	l := d.links[from+">"+addr]
	if l == nil {
		l = &link{}
		d.links[from+">"+addr] = l
	}
	generation := 0
	if caller != nil {
		generation = caller.generation
	}
	call := &pendingCall{link: l}
	call.done = func(reply any, err error) {
		switch {
		case done == nil:
		case caller == nil:
			done(reply, err)
		default:
			d.runIfAlive(caller, generation, func() { done(reply, err) })
		}
	}
	l.pending = append(l.pending, call)
	refuse := func() { call.finish(nil, transport.NewUnsentError(errs.New(errs.Lost, "no listener at %s", addr))) }
	if !isKnown {
		d.After(time.Millisecond, refuse)
		return
	}
	d.After(d.bound(timing.ConnectionTimeout), func() { call.finish(nil, errs.New(errs.Lost, "no answer from %s within the connection timeout", addr)) })
	d.Send(from, addr, func() {
		if !to.lifecycleState().isUp {
			d.Send(addr, from, refuse)
			return
		}
		d.runWhenThawed(to.lifecycleState(), func() {
			to.handle(request, func(reply any) { d.Send(addr, from, func() { call.finish(reply, nil) }) })
		})
	})
}

// runIfAlive runs work if the caller is still in the given generation, at the end of a freeze if it is frozen.
func (d *Deliveries) runIfAlive(caller *lifecycle, generation int, work func()) {
	switch {
	case !caller.isUp || caller.generation != generation:
	case d.now < caller.frozenUntil:
		d.After(caller.frozenUntil-d.now, func() { d.runIfAlive(caller, generation, work) })
	default:
		work()
	}
}

// resetConnections breaks all pending calls from and to an address, as the end of its process does.
func (d *Deliveries) resetConnections(addr string) {
	for _, name := range sortedKeys(d.links) {
		if from, to := splitLinkName(name); from == addr || to == addr {
			for _, c := range slices.Clone(d.links[name].pending) {
				c.finish(nil, errs.New(errs.Lost, "connection reset"))
			}
		}
	}
}

// callAndWait sends a request from within a task and waits for the reply or the deadline of the context.
func (d *Deliveries) callAndWait(ctx context.Context, from string, caller *lifecycle, addr string, request any) (reply any, err error) {
	c := simulatedContext(ctx)
	c.t.suspend(func(resume func()) {
		isDone := false
		end := func(got any, cause error) {
			if !isDone {
				isDone, reply, err = true, got, cause
				resume()
			}
		}
		d.sendRequest(from, caller, addr, request, end)
		d.After(max(0, c.deadline-d.now), func() { end(nil, errs.New(errs.DeadlineExceeded, "no answer before the deadline")) })
	})
	return reply, err
}

// bound returns a ratio of the default bounds as a duration.
func (d *Deliveries) bound(r timing.Ratio) time.Duration { return timing.Default.Of(r) }

// every runs work once per period, from a random first moment on, as long as the generation of its owner lasts;
// rounds during a freeze are skipped.
func (d *Deliveries) every(owner *lifecycle, period time.Duration, work func()) {
	generation := owner.generation
	var tick func()
	tick = func() {
		if owner.isUp && owner.generation == generation {
			if d.now >= owner.frozenUntil {
				work()
			}
			d.After(period, tick)
		}
	}
	d.After(time.Duration(d.Rand.Int64N(int64(period))), tick)
}

// newWho returns a daemon's identity as it goes into its session.
func newWho(kind, name, zone, boot, addr string) wire.Who {
	return wire.Who{Name: name, Kind: kind, Boot: boot, Zone: zone, Addr: addr}
}
