package sim

import (
	"context"
	"fmt"
	"slices"
	"time"

	"caperwheel/internal/daemon"
	"caperwheel/internal/manager"
	"caperwheel/internal/ownerclient"
	"caperwheel/internal/session"
	"caperwheel/internal/settings"
	"caperwheel/internal/timing"
	"caperwheel/internal/wire"
)

// managerProcess is a simulated manager: its session registry, its view of the parts, and the code behind
// the operators' interface.
type managerProcess struct {
	process
	registry    *session.Registry
	operators   *manager.Operators
	ownerClient *ownerclient.Client
}

func newManagerProcess(d *Deployment, m *machine) *managerProcess {
	p := &managerProcess{}
	p.process = process{d: d, kind: "manager", name: m.name + "-manager", addr: m.addr + ":manager", zone: m.zone, machine: m}
	p.handler = p.handleRequest
	return p
}

func (p *managerProcess) start() {
	if p.isUp {
		return
	}
	p.seedAddrs = p.d.seedAddrs()
	p.begin(fmt.Sprint(p.name, ".", p.generation+1))
	p.registry = session.NewRegistry(p.d.bound(timing.SessionTimeout))
	daemonConfig := &daemon.Daemon{Kind: "manager", Bounds: timing.Default, Who: p.who(), View: p.view, Membership: p.membership,
		Settings: settings.Settings{Parts: extraParts, Places: placeCount, Founders: replicaCount, Copies: replicaCount, IsFirstStart: p.d.now == 0},
		Clock:    p.now}
	p.ownerClient = &ownerclient.Client{Membership: p.membership, Bounds: timing.Default, SendFunc: p.callAndWait}
	p.operators = manager.NewOperators(daemonConfig, p.ownerClient, p.registry, &manager.Source{})
	p.every(p.pause, func() { p.pollParts(); p.exchangeSessions() })
	p.every(func() time.Duration { return p.d.bound(timing.Poll) }, p.operators.ObserveStores)
}

// handleRequest answers polls of sessions and the session exchange of other managers.
func (p *managerProcess) handleRequest(request any, answer func(any)) {
	now := p.now()
	switch m := request.(type) {
	case *wire.Poll:
		p.registry.Renew(wire.Member{Who: m.Who, Owns: m.Owns}, now, true)
		answer(session.NewsFor(m, p.view, now, p.membership))
	case *wire.Share:
		p.mergeSessions(m)
		answer(p.localSessions())
	}
}

// localSessions returns the sessions that this manager holds, for the other managers.
func (p *managerProcess) localSessions() *wire.Share {
	return &wire.Share{Who: p.who(), Members: p.registry.SessionsForPeers(p.now())}
}

// mergeSessions takes over another manager's sessions. A third manager among them is added only if it is
// unknown here.
func (p *managerProcess) mergeSessions(share *wire.Share) {
	for _, member := range share.Members {
		if member.Who.Kind == "manager" && member.Who.Name != share.Who.Name {
			p.registry.AddIfUnknown(member, p.now())
		} else {
			p.registry.Renew(member, p.now(), false)
		}
	}
}

// exchangeSessions exchanges sessions with the other managers and renews this manager's own membership.
func (p *managerProcess) exchangeSessions() {
	p.registry.Renew(wire.Member{Who: p.who()}, p.now(), true)
	for _, addr := range p.managerAddrs() {
		to, isKnown := p.d.processAt(addr)
		if !isKnown || addr == p.addr {
			continue
		}
		own, generation := p.localSessions(), p.generation
		p.d.net.call(p.machineAddr(), to, func(answer func(any)) { to.handler(own, answer) }, func(reply any, err error) {
			if share, isShare := reply.(*wire.Share); err == nil && isShare && p.generation == generation {
				p.d.runWhenThawed(&p.lifecycle, func() { p.mergeSessions(share) })
			}
		})
	}
	p.membership.Update(p.registry.Members(p.now()))
}

// pollParts polls every store for changes of the parts that it owns.
func (p *managerProcess) pollParts() {
	polledAt, generation := p.now(), p.generation
	for _, who := range p.membership.OfKind("store") {
		to, isKnown := p.d.processAt(who.Addr)
		if !isKnown {
			continue
		}
		request := &wire.Follow{Revisions: p.view.Revisions()}
		p.d.net.call(p.machineAddr(), to, func(answer func(any)) { to.handler(request, answer) }, func(reply any, err error) {
			if got, isNews := reply.(*wire.Followed); err == nil && isNews && p.generation == generation {
				p.d.runWhenThawed(&p.lifecycle, func() { p.view.Update(got.Parts, polledAt); p.d.oracle.checkView(&p.process) })
			}
		})
	}
}

// startTask runs an operator's request at this manager in a task of its own.
func (p *managerProcess) startTask(work func(ctx context.Context, o *manager.Operators)) {
	p.d.Go(&p.lifecycle, func(ctx context.Context, _ *task) { work(ctx, p.operators) })
}

// voters returns the members of a roster that vote; the names of others begin with '~'.
func voters(roster []string) []string {
	return slices.DeleteFunc(slices.Clone(roster), func(m string) bool { return m[0] == '~' })
}
