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

// deliveryDaemon is what stores and adapters have in common: a view, a membership, a session.
type deliveryDaemon struct {
	lifecycle
	d       *Deliveries
	kind    string
	name    string
	zone    string
	addr    string
	born    time.Duration
	daemon  *daemon.Daemon
	configs *config.Cache
	asking  bool
	askedAt time.Duration
}

func (p *deliveryDaemon) address() string   { return p.addr }
func (p *deliveryDaemon) cycle() *lifecycle { return &p.lifecycle }

// now is the daemon's own clock, which begins with its life.
func (p *deliveryDaemon) now() time.Duration { return p.d.now - p.born }

// begin starts a new life, whose news come through.
func (p *deliveryDaemon) begin(through func() string, say func(*wire.Poll)) {
	p.isUp, p.life, p.frozen, p.born, p.asking = true, p.life+1, 0, p.d.now, false
	p.daemon = &daemon.Daemon{Kind: p.kind, Bounds: timing.Default, Clock: p.now, View: feed.NewView(controlParts),
		Membership: session.NewMembership(), Who: whoIs(p.kind, p.name, p.zone, fmt.Sprintf("%s.%d", p.name, p.life), p.addr),
		Settings: settings.Settings{MaxInFlight: 500, Seeds: []string{through()}}}
	p.configs = &config.Cache{View: p.daemon.View}
	p.d.Note("start %s", p.daemon.Who.Boot)
	p.poll(through, say)
}

// poll renews the session and takes news in, again and again.
func (p *deliveryDaemon) poll(through func() string, say func(*wire.Poll)) {
	life := p.life
	var turn func()
	turn = func() {
		if !p.isUp || p.life != life {
			return
		}
		if p.d.now >= p.frozen {
			p.pollOnce(through(), say)
		}
		p.d.After(session.PollInterval(p.daemon.View, p.now(), timing.Default), turn)
	}
	turn()
}

func (p *deliveryDaemon) pollOnce(addr string, say func(*wire.Poll)) {
	if p.asking && p.now()-p.askedAt < p.d.bound(timing.AnswerTimeout) {
		return
	}
	p.asking, p.askedAt = true, p.now()
	poll := p.daemon.NewPoll()
	poll.Revisions, poll.MembershipHash = p.daemon.View.Revisions(), p.daemon.Membership.Hash()
	say(&poll)
	asked := p.askedAt
	p.d.post(p.addr, &p.lifecycle, addr, &poll, func(reply any, err error) {
		p.asking = false
		if news, isNews := reply.(*wire.News); err == nil && isNews {
			if news.MembershipHash != poll.MembershipHash {
				p.daemon.Membership.Update(news.MembershipHash, news.Members)
			}
			p.daemon.View.Update(news.Parts, asked)
		}
	})
}

// end ends the life; whoever is spoken to notices.
func (p *deliveryDaemon) end() {
	if p.isUp {
		p.isUp, p.life = false, p.life+1
		p.d.Note("end %s", p.name)
		p.d.reset(p.addr)
	}
}

// freeze has the daemon stand still for up to some seconds.
func (p *deliveryDaemon) freeze() {
	p.frozen = p.d.now + time.Duration(p.d.Rand.IntN(5000))*time.Millisecond
	p.d.Note("freeze %s until %v", p.name, p.frozen)
}

// namesIn returns the keys of a map in order: a seed must replay exactly.
func namesIn[V any](m map[string]V) []string { return slices.Sorted(maps.Keys(m)) }

// ends splits the name of a link.
func ends(name string) (from, to string) {
	from, to, _ = strings.Cut(name, ">")
	return from, to
}
