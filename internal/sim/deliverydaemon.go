package sim

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"caperwheel/internal/config"
	"caperwheel/internal/daemon"
	"caperwheel/internal/feed"
	"caperwheel/internal/session"
	"caperwheel/internal/settings"
	"caperwheel/internal/timing"
	"caperwheel/internal/wire"
)

// deliveryDaemon is the common part of stores, adapters and agents: a view, a membership and a session.
type deliveryDaemon struct {
	lifecycle
	d         *Deliveries
	kind      string
	name      string
	zone      string
	addr      string
	startedAt time.Duration
	daemon    *daemon.Daemon
	configs   *config.Cache
	isPolling bool
	polledAt  time.Duration
}

func (p *deliveryDaemon) address() string            { return p.addr }
func (p *deliveryDaemon) lifecycleState() *lifecycle { return &p.lifecycle }

// now reads the daemon's own clock, which starts at zero with each generation.
func (p *deliveryDaemon) now() time.Duration { return p.d.now - p.startedAt }

// begin starts a new generation that polls pollAddr; fillPoll adds to each poll.
func (p *deliveryDaemon) begin(pollAddr func() string, fillPoll func(*wire.Poll)) {
	p.isUp, p.generation, p.frozenUntil, p.startedAt, p.isPolling = true, p.generation+1, 0, p.d.now, false
	p.daemon = &daemon.Daemon{Kind: p.kind, Bounds: timing.Default, Clock: p.now, View: feed.NewView(controlParts),
		Membership: session.NewMembership(), Who: newWho(p.kind, p.name, p.zone, fmt.Sprintf("%s.%d", p.name, p.generation), p.addr),
		Settings: settings.Settings{MaxInFlight: 500, Seeds: []string{pollAddr()}}}
	p.configs = &config.Cache{View: p.daemon.View}
	p.d.Tracef("start %s", p.daemon.Who.Boot)
	p.poll(pollAddr, fillPoll)
}

// poll renews the session and updates the view at the usual poll interval.
func (p *deliveryDaemon) poll(pollAddr func() string, fillPoll func(*wire.Poll)) {
	generation := p.generation
	var tick func()
	tick = func() {
		if !p.isUp || p.generation != generation {
			return
		}
		if p.d.now >= p.frozenUntil {
			p.pollOnce(pollAddr(), fillPoll)
		}
		p.d.After(session.PollInterval(p.daemon.View, p.now(), timing.Default), tick)
	}
	tick()
}

// pollOnce sends one poll, unless an earlier one is still pending within the answer timeout.
func (p *deliveryDaemon) pollOnce(addr string, fillPoll func(*wire.Poll)) {
	if p.isPolling && p.now()-p.polledAt < p.d.bound(timing.AnswerTimeout) {
		return
	}
	p.isPolling, p.polledAt = true, p.now()
	poll := p.daemon.NewPoll()
	poll.Revisions, poll.MembershipHash = p.daemon.View.Revisions(), p.daemon.Membership.Hash()
	fillPoll(&poll)
	asked := p.polledAt
	p.d.sendRequest(p.addr, &p.lifecycle, addr, &poll, func(reply any, err error) {
		p.isPolling = false
		if news, isNews := reply.(*wire.News); err == nil && isNews {
			if news.MembershipHash != poll.MembershipHash {
				p.daemon.Membership.Update(news.MembershipHash, news.Members)
			}
			p.daemon.View.Update(news.Parts, asked)
		}
	})
}

// end ends the generation and breaks its connections.
func (p *deliveryDaemon) end() {
	if p.isUp {
		p.isUp, p.generation = false, p.generation+1
		p.d.Tracef("end %s", p.name)
		p.d.resetConnections(p.addr)
	}
}

// freeze freezes the daemon for up to 5 s.
func (p *deliveryDaemon) freeze() {
	p.frozenUntil = p.d.now + time.Duration(p.d.Rand.IntN(5000))*time.Millisecond
	p.d.Tracef("freeze %s until %v", p.name, p.frozenUntil)
}

// sortedKeys returns the keys of a map in order, so that a seed replays exactly.
func sortedKeys[V any](m map[string]V) []string { return slices.Sorted(maps.Keys(m)) }

// splitLinkName splits the name of a link into caller and callee.
func splitLinkName(name string) (from, to string) {
	from, to, _ = strings.Cut(name, ">")
	return from, to
}
