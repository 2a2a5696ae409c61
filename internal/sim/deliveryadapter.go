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

// deliveryAdapter is an adapter with the agent beside it, through which its news come.
type deliveryAdapter struct {
	deliveryDaemon
	out    *deliver.Adapter
	agent  *deliveryAgent
	isGone bool // it never comes back
	moves  int
}

// deliveryAgent passes news on. It keeps nothing: lanes here have no witness.
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

func (a *deliveryAdapter) start() {
	if a.isGone {
		return
	}
	a.agent.start()
	if a.isUp {
		return
	}
	a.begin(func() string { return a.agent.addr }, func(poll *wire.Poll) { a.out.AddCounts(poll.Fact.Counts) })
}

// begin readies the delivering half before the first poll tells of it.
func (a *deliveryAdapter) begin(through func() string, say func(*wire.Poll)) {
	a.deliveryDaemon.begin(through, func(poll *wire.Poll) {
		if a.out != nil {
			say(poll)
		}
	})
	a.out = deliver.NewWithEnvironment(a.daemon, a.configs, deliver.DefaultCodec, a.ports())
	life := a.life
	a.out.SetOwnerClient(&ownerclient.Client{Membership: a.daemon.Membership, Bounds: timing.Default, SendFunc: func(ctx context.Context, addr string, ask any) (any, error) {
		return a.d.callIn(ctx, a.addr, &a.lifecycle, addr, ask)
	}})
	a.d.every(&a.lifecycle, a.d.bound(timing.AnswerTimeout), func() {
		if a.life == life {
			a.out.ExpireRefusals()
		}
	})
}

// ports are the adapter's ways to the simulated world.
func (a *deliveryAdapter) ports() deliver.Environment {
	life := a.life
	task := func(work func(context.Context)) {
		a.d.Go(&a.lifecycle, func(ctx context.Context, _ *task) { work(ctx) })
	}
	return deliver.Environment{
		After: func(span time.Duration, work func()) {
			a.d.After(span, func() { a.d.resume(&a.lifecycle, life, work) })
		},
		Run: task, RunNotification: task, Send: a.send,
		Post: func(_ *wire.Link, addr string, ask any, done func(any, error)) error {
			a.d.post(a.addr, &a.lifecycle, addr, ask, done)
			return nil
		},
		FirstPermitId: func() int64 { return a.d.Rand.Int64N(1 << 40) },
	}
}

func (a *deliveryAdapter) onAsk(ask any, answer func(any)) { a.out.Serve(wire.Who{}, ask, answer) }

// kill ends the process; the connections that it had to workers break.
func (a *deliveryAdapter) kill() {
	if a.isUp {
		life := a.life
		a.end()
		for _, w := range a.d.workers {
			w.brokenBy(a, life)
		}
	}
}

// stop has the adapter leave in order, and ends it once nothing is in hand, or when its time is over.
func (a *deliveryAdapter) stop() {
	if !a.isUp {
		return
	}
	a.d.Note("stop %s", a.name)
	a.out.Leave()
	life, until := a.life, a.d.now+2*timing.Default.ConfigApply
	var look func()
	look = func() {
		switch {
		case !a.isUp || a.life != life:
		case a.d.now >= until || a.out.OpenRunCount() == 0 && a.d.now >= a.frozen:
			a.kill()
		default:
			a.d.After(50*time.Millisecond, look)
		}
	}
	a.d.After(a.d.bound(timing.Poll), look)
}

// move has the next life stand at another address.
func (a *deliveryAdapter) move() {
	a.kill()
	a.moves++
	a.addr = a.name + string(rune('a'+a.moves%26))
}

func (g *deliveryAgent) start() {
	if !g.isUp {
		g.begin(func() string { return ctlName }, func(*wire.Poll) {})
	}
}

// onAsk passes sessions and news on, and keeps no results.
func (g *deliveryAgent) onAsk(ask any, answer func(any)) {
	switch m := ask.(type) {
	case *wire.Poll:
		beside := g.daemon.NewPoll()
		beside.Who, beside.Fact = m.Who, m.Fact
		beside.Revisions, beside.MembershipHash = g.daemon.View.Revisions(), g.daemon.Membership.Hash()
		asked := g.now()
		g.d.post(g.addr, &g.lifecycle, ctlName, &beside, func(reply any, err error) {
			if news, isNews := reply.(*wire.News); err == nil && isNews {
				g.daemon.View.Update(news.Parts, asked)
				if news.MembershipHash != beside.MembershipHash {
					g.daemon.Membership.Update(news.MembershipHash, news.Members)
				}
				answer(session.NewsFor(m, g.daemon.View, g.now(), g.daemon.Membership))
			}
		})
	case *wire.Outcome:
		answer(&wire.OutcomeAck{Kind: string(errs.Unknown)})
	}
}
