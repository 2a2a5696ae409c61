package sim

import (
	"context"
	"time"

	"caperwheel/internal/deliver"
	"caperwheel/internal/errs"
	"caperwheel/internal/ownerclient"
	"caperwheel/internal/session"
	"caperwheel/internal/timing"
	"caperwheel/internal/wire"
)

// deliveryAdapter is an adapter with its co-located agent, through which it polls the manager.
type deliveryAdapter struct {
	deliveryDaemon
	out       *deliver.Adapter // the production adapter
	agent     *deliveryAgent
	isRemoved bool // it never restarts
	moveCount int
}

// deliveryAgent forwards polls to the manager. It keeps no results, since no lane of the simulation has a witness.
type deliveryAgent struct {
	deliveryDaemon
	a *deliveryAdapter
}

func newDeliveryAdapter(d *Deliveries, name, zone string) *deliveryAdapter {
	a := &deliveryAdapter{deliveryDaemon: deliveryDaemon{d: d, kind: "adapter", name: name, zone: zone, addr: name}}
	a.agent = &deliveryAgent{deliveryDaemon{d: d, kind: "agent", name: name + "-agent", zone: zone, addr: name + "-agent"}, a}
	return a
}

func (a *deliveryAdapter) agentAddr() string { return a.agent.addr }

// start starts the agent and the adapter, unless the adapter was removed.
func (a *deliveryAdapter) start() {
	if a.isRemoved {
		return
	}
	a.agent.start()
	if a.isUp {
		return
	}
	a.begin(func() string { return a.agent.addr }, func(poll *wire.Poll) { a.out.AddCounts(poll.Fact.Counts) })
}

// begin starts a new generation. The adapter is created before the first poll, which reports its counts.
func (a *deliveryAdapter) begin(pollAddr func() string, fillPoll func(*wire.Poll)) {
	a.deliveryDaemon.begin(pollAddr, func(poll *wire.Poll) {
		if a.out != nil {
			fillPoll(poll)
		}
	})
	a.out = deliver.NewWithEnvironment(a.daemon, a.configs, deliver.DefaultCodec, a.environment())
	generation := a.generation
	a.out.SetOwnerClient(&ownerclient.Client{Membership: a.daemon.Membership, Bounds: timing.Default, SendFunc: func(ctx context.Context, addr string, request any) (any, error) {
		return a.d.callAndWait(ctx, a.addr, &a.lifecycle, addr, request)
	}})
	a.d.every(&a.lifecycle, a.d.bound(timing.AnswerTimeout), func() {
		if a.generation == generation {
			a.out.ExpireRefusals()
		}
	})
}

// environment returns the adapter's interfaces to the simulated world.
func (a *deliveryAdapter) environment() deliver.Environment {
	generation := a.generation
	runTask := func(work func(context.Context)) {
		a.d.Go(&a.lifecycle, func(ctx context.Context, _ *task) { work(ctx) })
	}
	return deliver.Environment{
		After: func(span time.Duration, work func()) {
			a.d.After(span, func() { a.d.runIfAlive(&a.lifecycle, generation, work) })
		},
		Run: runTask, RunNotification: runTask, Send: a.send,
		Post: func(_ *wire.Link, addr string, request any, done func(any, error)) error {
			a.d.sendRequest(a.addr, &a.lifecycle, addr, request, done)
			return nil
		},
		FirstPermitId: func() int64 { return a.d.Rand.Int64N(1 << 40) },
	}
}

// handle serves a request of a store.
func (a *deliveryAdapter) handle(ask any, answer func(any)) { a.out.Serve(wire.Who{}, ask, answer) }

// kill ends the process; its connections to workers break.
func (a *deliveryAdapter) kill() {
	if a.isUp {
		generation := a.generation
		a.end()
		for _, w := range a.d.workers {
			w.dropConnections(a, generation)
		}
	}
}

// stop drains the adapter and ends it when no run is open, or after twice the ConfigApply bound.
func (a *deliveryAdapter) stop() {
	if !a.isUp {
		return
	}
	a.d.Tracef("stop %s", a.name)
	a.out.Leave()
	generation, until := a.generation, a.d.now+2*timing.Default.ConfigApply
	var check func()
	check = func() {
		switch {
		case !a.isUp || a.generation != generation:
		case a.d.now >= until || a.out.OpenRunCount() == 0 && a.d.now >= a.frozenUntil:
			a.kill()
		default:
			a.d.After(50*time.Millisecond, check)
		}
	}
	a.d.After(a.d.bound(timing.Poll), check)
}

// move ends the process; the next generation gets another address.
func (a *deliveryAdapter) move() {
	a.kill()
	a.moveCount++
	a.addr = a.name + string(rune('a'+a.moveCount%26))
}

func (g *deliveryAgent) start() {
	if !g.isUp {
		g.begin(func() string { return controlName }, func(*wire.Poll) {})
	}
}

// handle forwards polls to the manager and answers them from its own view; it rejects results.
func (g *deliveryAgent) handle(request any, answer func(any)) {
	switch m := request.(type) {
	case *wire.Poll:
		forwarded := g.daemon.NewPoll()
		forwarded.Who, forwarded.Fact = m.Who, m.Fact
		forwarded.Revisions, forwarded.MembershipHash = g.daemon.View.Revisions(), g.daemon.Membership.Hash()
		asked := g.now()
		g.d.sendRequest(g.addr, &g.lifecycle, controlName, &forwarded, func(reply any, err error) {
			if news, isNews := reply.(*wire.News); err == nil && isNews {
				g.daemon.View.Update(news.Parts, asked)
				if news.MembershipHash != forwarded.MembershipHash {
					g.daemon.Membership.Update(news.MembershipHash, news.Members)
				}
				answer(session.NewsFor(m, g.daemon.View, g.now(), g.daemon.Membership))
			}
		})
	case *wire.Outcome:
		answer(&wire.OutcomeAck{Kind: string(errs.Unknown)})
	}
}
