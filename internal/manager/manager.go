// Package manager is the control daemon: it holds sessions, follows the parts
// and passes them on, serves the operators' API and runs the controllers. It
// keeps nothing on disk.
package manager

import (
	"cmp"
	"context"
	"slices"
	"time"

	"caperwheel/internal/config"
	"caperwheel/internal/daemon"
	"caperwheel/internal/errs"
	"caperwheel/internal/reach"
	"caperwheel/internal/session"
	"caperwheel/internal/settings"
	"caperwheel/internal/timing"
	"caperwheel/internal/transport"
	"caperwheel/internal/wire"
)

// Manager is the daemon.
type Manager struct {
	d         *daemon.Daemon
	configs   *config.Cache
	registry  *session.Registry
	reach     *reach.Reach
	operators *Operators
	source    *Source // nil: operators write the lists
	lister    *lister // nil without a source; set before anything runs
	resend    time.Duration
	stores    settledStores
	peers     peers
}

// Options of a manager: what it meets beside its own interface.
type Options struct {
	Source *Source          // tells which workers there are, if given
	Serve  func(*Operators) // serves another interface of the operators, if given
	Resend time.Duration    // so long an order without a number may be sent again; 0 for twice the bound
}

// Run is the manager's main; a source gives its settings another way. options
// makes the options for the daemon.
func Run(source *settings.Source, options func(*daemon.Daemon) Options) {
	d := daemon.New("manager", source)
	o := options(d)
	m := &Manager{d: d, configs: &config.Cache{View: d.View}, registry: session.NewRegistry(d.Bounds.Of(timing.SessionTimeout)), source: o.Source,
		resend: cmp.Or(o.Resend, 2*d.Bounds.Config), stores: settledStores{bound: d.Bounds.Config}}
	m.operators = &Operators{m}
	if m.source != nil {
		m.lister = newLister(m)
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	d.Link(map[string]transport.Handler{"session": m.onSession, "peer": m.onPeer})
	m.reach = &reach.Reach{Node: d.Node, Membership: d.Membership, Bounds: d.Bounds, Link: wire.PartLink}
	d.Ready = func() (bool, string) { return d.IsFresh(), string(errs.Stale) }
	m.serveApi()
	if o.Serve != nil {
		o.Serve(m.operators)
	}
	pause := func() time.Duration { return session.Pause(d.View, d.Now(), d.Bounds) }
	go timing.Paced(ctx, pause, m.follow)
	go timing.Paced(ctx, pause, m.share)
	go timing.Every(ctx, d.Bounds.Of(timing.Poll), m.operators.Look)
	go m.controlDuties(ctx)
	go m.controlWeights(ctx)
	d.Measure(m.measurePools)
	if m.lister != nil {
		d.Measure(m.lister.measure)
		go m.lister.controlLists(ctx)
	}
	d.Serve(nil)
}

// onSession renews a daemon's session and answers with news.
func (m *Manager) onSession(_ wire.Who, body any, answer func(any)) {
	poll, isPoll := body.(*wire.Poll)
	if !isPoll {
		return
	}
	now := m.d.Now()
	m.registry.Hear(wire.Member{Who: poll.Who, Owns: poll.Owns, Fact: poll.Fact}, now, true)
	for _, b := range poll.Beside {
		m.registry.Hear(b, now, true)
	}
	answer(session.NewsFor(poll, m.d.View, now, m.d.Membership))
}

// onPeer takes another manager's sessions in and tells ours.
func (m *Manager) onPeer(_ wire.Who, body any, answer func(any)) {
	share, isShare := body.(*wire.Share)
	if !isShare {
		return
	}
	m.takeShare(share)
	answer(m.answerTo(share.Who))
}

func (m *Manager) ownShare() *wire.Share {
	return &wire.Share{Who: m.d.Who, Members: m.registry.Own(m.d.Now())}
}

func (m *Manager) takeShare(share *wire.Share) {
	now := m.d.Now()
	tellsOfItself := func(member wire.Member) bool { return member.Who.Name == share.Who.Name }
	if !slices.ContainsFunc(share.Members, tellsOfItself) {
		m.registry.Hear(wire.Member{Who: share.Who, Owns: []wire.Owned{}, Fact: wire.Fact{Counts: map[string]int64{}}}, now, false)
	}
	for _, member := range share.Members {
		if member.Who.Kind == "manager" && !tellsOfItself(member) {
			m.registry.Meet(member, now)
		} else {
			m.registry.Hear(member, now, false)
		}
	}
}

// share exchanges sessions with the other managers, and renews our own membership.
func (m *Manager) share() {
	own := m.d.Poll()
	if m.lister != nil {
		m.lister.say(own.Fact.Counts)
	}
	m.registry.Hear(wire.Member{Who: m.d.Who, Owns: []wire.Owned{}, Fact: own.Fact}, m.d.Now(), true)
	peers := []string{}
	for _, seed := range m.d.Live().Seeds {
		if seed != m.d.Who.Addr {
			peers = append(peers, seed)
		}
	}
	for _, who := range m.d.Membership.Kind("manager") {
		if who.Name != m.d.Who.Name && !slices.Contains(peers, who.Addr) {
			peers = append(peers, who.Addr)
		}
	}
	for _, addr := range peers {
		_ = m.d.Node.Peer(wire.PeerLink, addr).Post(m.ownShare(), func(reply any, err error) {
			if share, isShare := reply.(*wire.Share); err == nil && isShare {
				m.takeShare(share)
				m.peers.answered(share.Who.Boot, m.d.Now())
			}
		})
	}
	m.d.Membership.Take(m.registry.Members(m.d.Now()))
}

// follow asks every store for news of the parts that it owns.
func (m *Manager) follow() {
	now := m.d.Now()
	for _, who := range m.d.Membership.Kind("store") {
		ask := &wire.Follow{Revisions: m.d.View.Revisions()}
		_ = m.d.Node.Peer(wire.PartLink, who.Addr).Post(ask, func(reply any, err error) {
			if got, isNews := reply.(*wire.Followed); err == nil && isNews {
				m.d.View.Take(got.Parts, now)
			}
		})
	}
}
