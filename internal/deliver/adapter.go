package deliver

import (
	"context"
	"sync"
	"time"

	"github.com/alitto/pond/v2"
	"github.com/go-resty/resty/v2"
	"github.com/prometheus/client_golang/prometheus"

	"caperwheel/internal/beat"
	"caperwheel/internal/charter"
	"caperwheel/internal/daemon"
	"caperwheel/internal/path"
	"caperwheel/internal/reach"
	"caperwheel/internal/wire"
)

// Adapter is the delivering half of the adapter daemon.
//
// Invariants: terms has the newest term heard of each place, and nothing older
// is obeyed; never keeps each run that was told never to start for as long as
// a stray order for it could still arrive.
type Adapter struct {
	d      *daemon.Daemon
	scenes *charter.Scenes
	reach  *reach.Reach
	slots  *slots
	client *resty.Client
	pool   pond.Pool
	doers  path.Doers[*delivery]
	ctx    context.Context

	mu    sync.Mutex
	runs  map[runKey]*run
	never map[runKey]time.Duration
	terms map[int64]int64
}

var ended = prometheus.NewCounterVec(prometheus.CounterOpts{Namespace: "caperwheel", Subsystem: "deliver",
	Name: "runs_total", Help: "Runs by pool and how they ended."}, []string{"pool", "end"})

func init() { prometheus.MustRegister(ended) }

// New readies the delivering half.
func New(ctx context.Context, d *daemon.Daemon, scenes *charter.Scenes) *Adapter {
	a := &Adapter{d: d, scenes: scenes, ctx: ctx, client: newClient(), pool: pond.NewPool(d.Settings.Most),
		runs: map[runKey]*run{}, never: map[runKey]time.Duration{}, terms: map[int64]int64{}}
	a.slots = newSlots(a)
	a.doers = a.steps()
	return a
}

// Link gives the node, once it is open, to send results with.
func (a *Adapter) Link() {
	a.reach = &reach.Reach{Node: a.d.Node, Roll: a.d.Roll, Bounds: a.d.Bounds, Link: wire.PlaceLink}
}

// Serve answers stores.
func (a *Adapter) Serve(_ wire.Who, body any, answer func(any)) {
	switch m := body.(type) {
	case *wire.Want:
		a.slots.want(m, answer)
	case *wire.Run:
		a.start(m, answer)
	case *wire.Release:
		a.slots.release(m.Permit)
	case *wire.Open:
		answer(a.open(m))
	}
}

// Run does the periodic work until ctx ends.
func (a *Adapter) Run(ctx context.Context) {
	beat.Every(ctx, a.d.Bounds.Of(beat.Pulse)/24, func() {
		a.slots.serve()
		now := a.d.Now()
		a.mu.Lock()
		for key, at := range a.never {
			if now-at > 20*a.d.Bounds.Charter {
				delete(a.never, key)
			}
		}
		a.mu.Unlock()
	})
}

// Say adds to what the adapter tells of itself in its session.
func (a *Adapter) Say(counts map[string]int64) {
	counts["runs"] = int64(a.InHand())
	a.slots.observed(counts)
}

// InHand tells how many runs are in hand.
func (a *Adapter) InHand() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return len(a.runs)
}

// Drain waits until no run is in hand, or ctx ends.
func (a *Adapter) Drain(ctx context.Context) {
	for a.InHand() > 0 && ctx.Err() == nil {
		select {
		case <-ctx.Done():
		case <-time.After(a.d.Bounds.Of(beat.Poll) / 4):
		}
	}
}
