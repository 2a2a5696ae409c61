// Package manager implements the control daemon of a deployment. A manager keeps the sessions of
// all daemons, follows the parts of the replicated control state and relays their changes to the
// daemons, serves the operators' API and runs the controllers of duties, weights and worker lists.
// It keeps nothing on disk. The daemon's main calls Run; the simulation calls NewOperators.
package manager

import (
	"cmp"
	"context"
	"slices"
	"time"

	"caperwheel/internal/config"
	"caperwheel/internal/daemon"
	"caperwheel/internal/errs"
	"caperwheel/internal/ownerclient"
	"caperwheel/internal/session"
	"caperwheel/internal/settings"
	"caperwheel/internal/timing"
	"caperwheel/internal/transport"
	"caperwheel/internal/wire"
)

// Manager is a running manager daemon.
type Manager struct {
	d              *daemon.Daemon
	configs        *config.Cache
	registry       *session.Registry
	ownerClient    *ownerclient.Client
	operators      *Operators
	source         *Source         // nil if operators write the worker lists
	listController *listController // nil without a source; set before any goroutine starts
	resendWindow   time.Duration
	storeHistory   storeHistory
	peers          peerShares
}

// Options connects a manager to the interfaces of a platform.
type Options struct {
	Source         *Source          // source of the worker lists; may be nil
	ServeOperators func(*Operators) // starts a further interface for operators; may be nil
	ResendWindow   time.Duration    // how long an order without request number may be retried; 0: twice the bound
}

// Run starts a manager and serves until the process ends. The settings come from source if it is
// not nil. options returns the options for the new daemon.
func Run(source *settings.Source, options func(*daemon.Daemon) Options) {
	d := daemon.New("manager", source)
	o := options(d)
	m := &Manager{d: d, configs: &config.Cache{View: d.View}, registry: session.NewRegistry(d.Bounds.Of(timing.SessionTimeout)), source: o.Source,
		resendWindow: cmp.Or(o.ResendWindow, 2*d.Bounds.ConfigApply), storeHistory: storeHistory{bound: d.Bounds.ConfigApply}}
	m.operators = &Operators{m}
	if m.source != nil {
		m.listController = newListController(m)
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	d.OpenTransport(map[string]transport.Handler{"session": m.onSession, "peer": m.onPeer})
	m.ownerClient = &ownerclient.Client{Node: d.Node, Membership: d.Membership, Bounds: d.Bounds, Link: wire.PartLink}
	d.Ready = func() (bool, string) { return d.IsFresh(), string(errs.Stale) }
	m.serveApi()
	if o.ServeOperators != nil {
		o.ServeOperators(m.operators)
	}
	pause := func() time.Duration { return session.PollInterval(d.View, d.Now(), d.Bounds) }
	go timing.EveryPaced(ctx, pause, m.followParts)
	go timing.EveryPaced(ctx, pause, m.exchangeShares)
	go timing.Every(ctx, d.Bounds.Of(timing.Poll), m.operators.ObserveStores)
	go m.runDutyController(ctx)
	go m.runWeightController(ctx)
	d.AddMetrics(m.measurePools)
	if m.listController != nil {
		d.AddMetrics(m.listController.emitMetrics)
		go m.listController.run(ctx)
	}
	d.Serve(nil)
}

// onSession renews the session of the polling daemon, and of the daemons whose state it relays, and
// answers with the changes that the daemon lacks.
func (m *Manager) onSession(_ wire.Who, body any, answer func(any)) {
	poll, isPoll := body.(*wire.Poll)
	if !isPoll {
		return
	}
	now := m.d.Now()
	m.registry.Renew(wire.Member{Who: poll.Who, Owns: poll.Owns, Fact: poll.Fact}, now, true)
	for _, b := range poll.Colocated {
		m.registry.Renew(b, now, true)
	}
	answer(session.NewsFor(poll, m.d.View, now, m.d.Membership))
}

// onPeer merges the sessions that another manager shares, and answers with our own.
func (m *Manager) onPeer(_ wire.Who, body any, answer func(any)) {
	share, isShare := body.(*wire.Share)
	if !isShare {
		return
	}
	m.applyShare(share)
	answer(m.shareFor(share.Who))
}

// ownShare returns the sessions that this manager shares with its peers.
func (m *Manager) ownShare() *wire.Share {
	return &wire.Share{Who: m.d.Who, Members: m.registry.SessionsForPeers(m.d.Now())}
}

// applyShare merges a peer's share into the registry. Only what a manager reports of itself, and sessions of
// other daemons, count as renewed; other managers are only added if they are unknown.
func (m *Manager) applyShare(share *wire.Share) {
	now := m.d.Now()
	isSender := func(member wire.Member) bool { return member.Who.Name == share.Who.Name }
	if !slices.ContainsFunc(share.Members, isSender) {
		m.registry.Renew(wire.Member{Who: share.Who, Owns: []wire.Owned{}, Fact: wire.Fact{Counts: map[string]int64{}}}, now, false)
	}
	for _, member := range share.Members {
		if member.Who.Kind == "manager" && !isSender(member) {
			m.registry.AddIfUnknown(member, now)
		} else {
			m.registry.Renew(member, now, false)
		}
	}
}

// exchangeShares exchanges sessions with the other managers and renews this manager's own session.
func (m *Manager) exchangeShares() {
	own := m.d.NewPoll()
	if m.listController != nil {
		m.listController.addCounts(own.Fact.Counts)
	}
	m.registry.Renew(wire.Member{Who: m.d.Who, Owns: []wire.Owned{}, Fact: own.Fact}, m.d.Now(), true)
	peers := []string{}
	for _, seed := range m.d.CurrentSettings().Seeds {
		if seed != m.d.Who.Addr {
			peers = append(peers, seed)
		}
	}
	for _, who := range m.d.Membership.OfKind("manager") {
		if who.Name != m.d.Who.Name && !slices.Contains(peers, who.Addr) {
			peers = append(peers, who.Addr)
		}
	}
	for _, addr := range peers {
		_ = m.d.Node.Peer(wire.PeerLink, addr).Post(m.ownShare(), func(reply any, err error) {
			if share, isShare := reply.(*wire.Share); err == nil && isShare {
				m.applyShare(share)
				m.peers.recordTaken(share.Who.Boot, m.d.Now())
			}
		})
	}
	m.d.Membership.Update(m.registry.Members(m.d.Now()))
}

// followParts requests from every store the changes of the parts that it owns.
func (m *Manager) followParts() {
	now := m.d.Now()
	for _, who := range m.d.Membership.OfKind("store") {
		ask := &wire.Follow{Revisions: m.d.View.Revisions()}
		_ = m.d.Node.Peer(wire.PartLink, who.Addr).Post(ask, func(reply any, err error) {
			if got, isNews := reply.(*wire.Followed); err == nil && isNews {
				m.d.View.Update(got.Parts, now)
			}
		})
	}
}
