package deliver

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"k8s.io/klog/v2"

	"caperwheel/internal/config"
	"caperwheel/internal/daemon"
	"caperwheel/internal/errs"
	"caperwheel/internal/groupclock"
	"caperwheel/internal/ownerclient"
	"caperwheel/internal/pipeline"
	"caperwheel/internal/repair"
	"caperwheel/internal/session"
	"caperwheel/internal/timing"
	"caperwheel/internal/wire"
)

// Adapter is the delivering half of the adapter daemon.
type Adapter struct {
	d                   *daemon.Daemon
	configs             *config.Cache
	environment         Environment
	ownerClient         *ownerclient.Client
	slots               *slotAllocator
	codec               Codec
	notificationLimiter notificationLimiter
	actions             pipeline.Actions[*delivery]
	programs            pipeline.Programs
	runs                *RunRegistry
	times               groupclock.Cache // of the places' groups
	// Once it is set no run is begun, and no slot granted.
	isLeaving atomic.Bool
}

var runsTotal = prometheus.NewCounterVec(prometheus.CounterOpts{Namespace: "caperwheel", Subsystem: "deliver",
	Name: "runs_total", Help: "Runs by pool and how they ended."}, []string{"pool", "end"})

var answersNotKept = prometheus.NewCounterVec(prometheus.CounterOpts{Namespace: "caperwheel", Subsystem: "deliver",
	Name: "answers_not_kept_total", Help: "Whole answers of workers that are longer than what is kept as proof, by pool."}, []string{"pool"})

func init() { prometheus.MustRegister(runsTotal, answersNotKept) }

// New readies the delivering half; codec is how requests that came as they are
// are put to workers.
func New(ctx context.Context, d *daemon.Daemon, configs *config.Cache, codec Codec) *Adapter {
	a := NewWithEnvironment(d, configs, codec, daemonEnvironment(ctx, d))
	d.AddMetrics(a.measure)
	return a
}

// NewWithEnvironment readies the delivering half on given ports.
func NewWithEnvironment(d *daemon.Daemon, configs *config.Cache, codec Codec, environment Environment) *Adapter {
	a := &Adapter{d: d, configs: configs, environment: environment, runs: NewRunRegistry(d.Settings.MaxInFlight), codec: codec}
	a.slots = newSlotAllocator(a)
	a.actions = a.buildActions()
	return a
}

// UseNode gives the node, once it is open, to send results with.
func (a *Adapter) UseNode() {
	a.SetOwnerClient(&ownerclient.Client{Node: a.d.Node, Membership: a.d.Membership, Bounds: a.d.Bounds, Link: wire.PlaceLink})
}

// SetOwnerClient gives what brings results to the owners of places.
func (a *Adapter) SetOwnerClient(r *ownerclient.Client) { a.ownerClient = r }

// Serve answers stores.
func (a *Adapter) Serve(_ wire.Who, body any, answer func(any)) {
	switch m := body.(type) {
	case *wire.Want:
		a.slots.requestSlot(m, answer)
	case *wire.Run:
		a.handleRun(m, answer)
	case *wire.Tell:
		a.handleTell(m, answer)
	case *wire.Release:
		a.slots.release(m.Permit)
	case *wire.TellTime:
		answer(StoreGroupTime(&a.times, m, a.d.Now()))
	case *wire.AskTime:
		answer(ReportGroupTime(&a.times, m, a.d.Now()))
	case *wire.Open:
		if m.Boot != a.d.Who.Boot {
			a.askAgent(m, answer)
			return
		}
		answer(a.runs.ResolveOpen(m, a.d.Now()))
	}
}

// askAgent looks whether the agent keeps the result of a run that an earlier
// life of this adapter had. Only the agent's own word that it keeps none makes
// the run a lost one; while it cannot tell, the owner asks again.
func (a *Adapter) askAgent(m *wire.Open, answer func(any)) {
	unknown := &wire.OpenAck{Kind: string(errs.Lost)}
	ask := &wire.Outcome{Place: m.Place, Id: m.Id, Step: repair.StepHas, Proof: wire.Proof{Attempt: m.Attempt, Answer: []byte{}}}
	err := a.environment.Post(wire.PlaceLink, a.d.Settings.Seeds[0], ask, func(reply any, err error) {
		ack, isAck := reply.(*wire.OutcomeAck)
		switch {
		case err != nil || !isAck:
			answer(unknown)
		case ack.Kind == "":
			answer(&wire.OpenAck{State: "open"})
		case ack.Kind == string(errs.Unknown):
			answer(&wire.OpenAck{State: "gone"})
		default:
			answer(unknown)
		}
	})
	if err != nil {
		answer(unknown)
	}
}

// Run does the periodic work until ctx ends.
func (a *Adapter) Run(ctx context.Context) {
	timing.Every(ctx, a.d.Bounds.Of(timing.AnswerTimeout), a.ExpireRefusals)
}

// ExpireRefusals forgets promises that nobody can come back to.
func (a *Adapter) ExpireRefusals() { a.runs.ExpireRefusals(a.d.Now(), 20*a.d.Bounds.ConfigApply) }

// AddCounts adds to what the adapter tells of itself in its session.
func (a *Adapter) AddCounts(counts map[string]int64) {
	counts["runs"] = int64(a.OpenRunCount())
	if a.isLeaving.Load() {
		counts[DrainingCount] = 1
	}
	a.slots.addObservations(counts)
}

// OpenRunCount reports how many runs are in hand.
func (a *Adapter) OpenRunCount() int { return a.runs.Count() }

// DrainingCount is the count by which an adapter tells that it is going: others take
// its duties.
const DrainingCount = session.DrainingCount

// IsLeaving reports whether it was asked to stop.
func (a *Adapter) IsLeaving() bool { return a.isLeaving.Load() }

// holdsAnyDuty reports whether a duty still names this life of the adapter.
func (a *Adapter) holdsAnyDuty() bool {
	compiled := a.configs.Current()
	for pool, duties := range compiled.Duties {
		for worker := range duties.All() {
			if compiled.IsHolder(pool, worker, a.d.Who.Name, a.d.Who.Boot) {
				return true
			}
		}
	}
	return false
}

// Leave has the adapter begin nothing more.
func (a *Adapter) Leave() { a.isLeaving.Store(true) }

// Drain begins nothing more and waits until no run is in hand, and for a while
// until its duties have been taken over, or ctx ends.
func (a *Adapter) Drain(ctx context.Context) {
	a.Leave()
	handOver := a.d.Now() + a.d.Bounds.Of(timing.SessionTimeout)
	for ctx.Err() == nil && (a.OpenRunCount() > 0 || a.holdsAnyDuty() && a.d.Now() < handOver) {
		select {
		case <-ctx.Done():
		case <-time.After(a.d.Bounds.Of(timing.Poll) / 4):
		}
	}
	if inHand := a.OpenRunCount(); inHand > 0 {
		klog.Warningf("deliver: %d runs are in hand still, though the time to end them is over.", inHand)
	}
}
