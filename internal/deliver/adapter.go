// Package deliver is the part of the adapter daemon that dispatches messages. It grants concurrency slots on the
// workers whose duties the adapter holds, runs the messages that stores send for granted slots over HTTP, reports each
// result to the owner of the message's place until it is durable, and sends completion notifications. It holds the open
// runs, the state of each worker and the queues of waiting requests, all in memory. The adapter daemon (cmd/adapter)
// and the simulation (internal/sim) call it.
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

// Adapter is the dispatching half of the adapter daemon.
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
	times               groupclock.Cache // of the places' groups, reported back to new owners
	// Once it is set, no run is accepted and no slot is granted.
	isDraining atomic.Bool
}

var runsTotal = prometheus.NewCounterVec(prometheus.CounterOpts{Namespace: "caperwheel", Subsystem: "deliver",
	Name: "runs_total", Help: "Runs by pool and how they ended."}, []string{"pool", "end"})

var answersNotKept = prometheus.NewCounterVec(prometheus.CounterOpts{Namespace: "caperwheel", Subsystem: "deliver",
	Name: "answers_not_kept_total", Help: "Whole answers of workers that are longer than what is kept as proof, by pool."}, []string{"pool"})

func init() { prometheus.MustRegister(runsTotal, answersNotKept) }

// New returns the dispatching half of a daemon; its work ends with ctx. codec translates passthrough requests to what
// workers expect.
func New(ctx context.Context, d *daemon.Daemon, configs *config.Cache, codec Codec) *Adapter {
	a := NewWithEnvironment(d, configs, codec, daemonEnvironment(ctx, d))
	d.AddMetrics(a.measure)
	return a
}

// NewWithEnvironment is New with the given environment and without metrics.
func NewWithEnvironment(d *daemon.Daemon, configs *config.Cache, codec Codec, environment Environment) *Adapter {
	a := &Adapter{d: d, configs: configs, environment: environment, runs: NewRunRegistry(d.Settings.MaxInFlight), codec: codec}
	a.slots = newSlotAllocator(a)
	a.actions = a.buildActions()
	return a
}

// UseNode makes results travel over the daemon's node; to be called once the node is open.
func (a *Adapter) UseNode() {
	a.SetOwnerClient(&ownerclient.Client{Node: a.d.Node, Membership: a.d.Membership, Bounds: a.d.Bounds, Link: wire.PlaceLink})
}

// SetOwnerClient sets the client by which results reach the owners of places.
func (a *Adapter) SetOwnerClient(client *ownerclient.Client) { a.ownerClient = client }

// Serve handles messages from stores on the run link.
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

// askAgent asks the agent on this machine whether it keeps the result of a run of an earlier boot of this adapter. Only
// the agent's explicit answer that it keeps none makes the run a lost one; on any failure the store is told that the
// run's fate is unknown and asks again.
func (a *Adapter) askAgent(m *wire.Open, answer func(any)) {
	unknown := &wire.OpenAck{Kind: string(errs.Lost)}
	query := &wire.Outcome{Place: m.Place, Id: m.Id, Step: repair.StepHas, Proof: wire.Proof{Attempt: m.Attempt, Answer: []byte{}}}
	err := a.environment.Post(wire.PlaceLink, a.d.Settings.Seeds[0], query, func(reply any, err error) {
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

// ExpireRefusals removes refusals of runs that no delayed request can refer to any more.
func (a *Adapter) ExpireRefusals() { a.runs.ExpireRefusals(a.d.Now(), 20*a.d.Bounds.ConfigApply) }

// AddCounts adds the adapter's load, its draining state and its observations of workers to the counts that its session
// reports to the managers.
func (a *Adapter) AddCounts(counts map[string]int64) {
	counts["runs"] = int64(a.OpenRunCount())
	if a.isDraining.Load() {
		counts[DrainingCount] = 1
	}
	a.slots.addObservations(counts)
}

// OpenRunCount returns the number of runs whose result is not durable yet.
func (a *Adapter) OpenRunCount() int { return a.runs.Count() }

// DrainingCount is the session count by which an adapter announces its shutdown, so that managers assign its duties to
// other adapters.
const DrainingCount = session.DrainingCount

// IsLeaving reports whether the adapter is shutting down.
func (a *Adapter) IsLeaving() bool { return a.isDraining.Load() }

// holdsAnyDuty reports whether any duty is still assigned to this boot of the adapter.
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

// Leave makes the adapter accept no more runs and grant no more slots.
func (a *Adapter) Leave() { a.isDraining.Store(true) }

// Drain stops accepting work and waits until no run is open and, for at most a session timeout, until the adapter's
// duties have been assigned to others. It returns early when ctx ends.
func (a *Adapter) Drain(ctx context.Context) {
	a.Leave()
	dutyDeadline := a.d.Now() + a.d.Bounds.Of(timing.SessionTimeout)
	for ctx.Err() == nil && (a.OpenRunCount() > 0 || a.holdsAnyDuty() && a.d.Now() < dutyDeadline) {
		select {
		case <-ctx.Done():
		case <-time.After(a.d.Bounds.Of(timing.Poll) / 4):
		}
	}
	if openRuns := a.OpenRunCount(); openRuns > 0 {
		klog.Warningf("deliver: drain timed out with %d runs still open; stopping anyway", openRuns)
	}
}
