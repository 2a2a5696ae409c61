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

// managerProcess is a manager: sessions, feed, and the operators' own code.
type managerProcess struct {
	process
	registry  *session.Registry
	operators *manager.Operators
	reach     *ownerclient.Client
}

func newManager(d *Deployment, m *machine) *managerProcess {
	p := &managerProcess{}
	p.process = process{d: d, kind: "manager", name: m.name + "-manager", addr: m.addr + ":manager", zone: m.zone, machine: m}
	p.serve = p.onCall
	return p
}

func (p *managerProcess) start() {
	if p.isUp {
		return
	}
	p.seeds = p.d.seeds()
	p.begin(fmt.Sprint(p.name, ".", p.life+1))
	p.registry = session.NewRegistry(p.d.bound(timing.SessionTimeout))
	about := &daemon.Daemon{Kind: "manager", Bounds: timing.Default, Who: p.who(), View: p.view, Membership: p.membership,
		Settings: settings.Settings{Parts: parts, Places: places, Founders: copies, Copies: copies, IsFirstStart: p.d.now == 0},
		Clock:    p.now}
	p.reach = &ownerclient.Client{Membership: p.membership, Bounds: timing.Default, SendFunc: p.callIn}
	p.operators = manager.NewOperators(about, p.reach, p.registry, &manager.Source{})
	p.every(p.pause, func() { p.followParts(); p.share() })
	p.every(func() time.Duration { return p.d.bound(timing.Poll) }, p.operators.ObserveStores)
}

// onCall serves sessions and peers.
func (p *managerProcess) onCall(ask any, answer func(any)) {
	now := p.now()
	switch m := ask.(type) {
	case *wire.Poll:
		p.registry.Renew(wire.Member{Who: m.Who, Owns: m.Owns}, now, true)
		answer(session.NewsFor(m, p.view, now, p.membership))
	case *wire.Share:
		p.takeShare(m)
		answer(p.ownShare())
	}
}

func (p *managerProcess) ownShare() *wire.Share {
	return &wire.Share{Who: p.who(), Members: p.registry.SessionsForPeers(p.now())}
}

func (p *managerProcess) takeShare(share *wire.Share) {
	for _, member := range share.Members {
		if member.Who.Kind == "manager" && member.Who.Name != share.Who.Name {
			p.registry.AddIfUnknown(member, p.now())
		} else {
			p.registry.Renew(member, p.now(), false)
		}
	}
}

// share exchanges sessions with the other managers, and renews our own membership.
func (p *managerProcess) share() {
	p.registry.Renew(wire.Member{Who: p.who()}, p.now(), true)
	for _, addr := range p.managers() {
		to, isKnown := p.d.at(addr)
		if !isKnown || addr == p.addr {
			continue
		}
		own, life := p.ownShare(), p.life
		p.d.net.call(p.machineOf(), to, func(answer func(any)) { to.serve(own, answer) }, func(reply any, err error) {
			if share, isShare := reply.(*wire.Share); err == nil && isShare && p.life == life {
				p.d.whenThawed(&p.lifecycle, func() { p.takeShare(share) })
			}
		})
	}
	p.membership.Update(p.registry.Members(p.now()))
}

// followParts asks every store for news of the parts that it owns.
func (p *managerProcess) followParts() {
	asked, life := p.now(), p.life
	for _, who := range p.membership.OfKind("store") {
		to, isKnown := p.d.at(who.Addr)
		if !isKnown {
			continue
		}
		ask := &wire.Follow{Revisions: p.view.Revisions()}
		p.d.net.call(p.machineOf(), to, func(answer func(any)) { to.serve(ask, answer) }, func(reply any, err error) {
			if got, isNews := reply.(*wire.Followed); err == nil && isNews && p.life == life {
				p.d.whenThawed(&p.lifecycle, func() { p.view.Update(got.Parts, asked); p.d.book.seen(&p.process) })
			}
		})
	}
}

// handle does an operator's work at this manager, in a task of its own.
func (p *managerProcess) handle(work func(ctx context.Context, o *manager.Operators)) {
	p.d.Go(&p.lifecycle, func(ctx context.Context, _ *task) { work(ctx, p.operators) })
}

func voters(roster []string) []string {
	return slices.DeleteFunc(slices.Clone(roster), func(m string) bool { return m[0] == '~' })
}
