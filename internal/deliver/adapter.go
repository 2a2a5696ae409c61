package deliver

import (
	"context"
	"time"

	"github.com/alitto/pond/v2"
	"github.com/go-resty/resty/v2"
	"github.com/prometheus/client_golang/prometheus"

	"caperwheel/internal/beat"
	"caperwheel/internal/charter"
	"caperwheel/internal/daemon"
	"caperwheel/internal/path"
	"caperwheel/internal/reach"
	"caperwheel/internal/repair"
	"caperwheel/internal/wire"
)

// Adapter is the delivering half of the adapter daemon.
type Adapter struct {
	d        *daemon.Daemon
	scenes   *charter.Scenes
	reach    *reach.Reach
	slots    *slots
	client   *resty.Client
	pool     pond.Pool
	doers    path.Doers[*delivery]
	programs path.Programs
	ctx      context.Context
	book     *Book
}

var ended = prometheus.NewCounterVec(prometheus.CounterOpts{Namespace: "caperwheel", Subsystem: "deliver",
	Name: "runs_total", Help: "Runs by pool and how they ended."}, []string{"pool", "end"})

func init() { prometheus.MustRegister(ended) }

// New readies the delivering half.
func New(ctx context.Context, d *daemon.Daemon, scenes *charter.Scenes) *Adapter {
	a := &Adapter{d: d, scenes: scenes, ctx: ctx, client: newClient(), pool: pond.NewPool(d.Settings.Most),
		book: NewBook(d.Settings.Most)}
	a.slots = newSlots(a)
	a.doers = a.steps()
	d.Measure(a.measure)
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
		if m.Boot != a.d.Who.Boot {
			a.askAgent(m, answer)
			return
		}
		answer(a.book.Open(m, a.d.Now()))
	}
}

// askAgent looks whether the agent keeps the result of a run that an earlier
// life of this adapter had. No answer means that the owner asks again.
func (a *Adapter) askAgent(m *wire.Open, answer func(any)) {
	ask := &wire.Outcome{Place: m.Place, Id: m.Id, Step: repair.StepHas, Proof: wire.Proof{Attempt: m.Attempt, Answer: []byte{}}}
	_ = a.d.Node.Peer(wire.PlaceLink, a.d.Settings.Seeds[0]).Post(ask, func(reply any, err error) {
		ack, isAck := reply.(*wire.OutcomeAck)
		if err != nil || !isAck {
			return
		}
		state := "open"
		if ack.Kind != "" {
			state = "gone"
		}
		answer(&wire.OpenAck{State: state})
	})
}

// Run does the periodic work until ctx ends.
func (a *Adapter) Run(ctx context.Context) {
	beat.Every(ctx, a.d.Bounds.Of(beat.Pulse)/24, func() {
		a.slots.serve()
		a.book.Tidy(a.d.Now(), 20*a.d.Bounds.Charter)
	})
}

// Say adds to what the adapter tells of itself in its session.
func (a *Adapter) Say(counts map[string]int64) {
	counts["runs"] = int64(a.InHand())
	a.slots.observed(counts)
}

// InHand tells how many runs are in hand.
func (a *Adapter) InHand() int { return a.book.Count() }

// Drain waits until no run is in hand, or ctx ends.
func (a *Adapter) Drain(ctx context.Context) {
	for a.InHand() > 0 && ctx.Err() == nil {
		select {
		case <-ctx.Done():
		case <-time.After(a.d.Bounds.Of(beat.Poll) / 4):
		}
	}
}
