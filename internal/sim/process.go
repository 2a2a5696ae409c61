package sim

import (
	"fmt"
	"time"

	"caperwheel/internal/config"
	"caperwheel/internal/feed"
	"caperwheel/internal/session"
	"caperwheel/internal/timing"
	"caperwheel/internal/wire"
)

// process is what every daemon of a deployment has: a view, a membership and a
// session with whoever tells it the news.
type process struct {
	lifecycle
	d          *Deployment
	kind       string
	name       string
	addr       string
	zone       string
	boot       string
	machine    *machine // nil for a follower
	view       *feed.View
	membership *session.Membership
	configs    *config.Cache
	serve      func(ask any, answer func(any))
	seeds      []string
	at         int
	heard      time.Duration
	isAsking   bool
	born       time.Duration
	newest     int64 // the highest revision its view has had in this life
}

// begin starts a new life.
func (p *process) begin(boot string) {
	p.isUp, p.life, p.frozen = true, p.life+1, 0
	p.boot, p.born = boot, p.d.now
	p.view, p.membership, p.newest = feed.NewView(parts), session.NewMembership(), 0
	p.configs = &config.Cache{View: p.view}
	p.at, p.heard, p.isAsking = p.d.Rand.IntN(10), p.d.now, false
	p.d.Note("start %s as %s", p.name, boot)
}

// now is the daemon's own clock, which begins with its life.
func (p *process) now() time.Duration { return p.d.now - p.born }

func (p *process) end() {
	if p.isUp {
		p.isUp, p.life = false, p.life+1
		p.d.Note("end %s", p.name)
	}
}

// every does work after each pause for as long as this life lasts.
func (p *process) every(pause func() time.Duration, work func()) {
	life := p.life
	var tick func()
	tick = func() {
		if p.isUp && p.life == life {
			if p.d.now >= p.frozen {
				work()
			}
			p.d.After(pause(), tick)
		}
	}
	p.d.After(time.Duration(p.d.Rand.IntN(30))*time.Millisecond, tick)
}

func (p *process) pause() time.Duration { return session.PollInterval(p.view, p.now(), timing.Default) }

func (p *process) who() wire.Who {
	return wire.Who{Name: p.name, Kind: p.kind, Boot: p.boot, Zone: p.zone, Addr: p.addr}
}

func (p *process) isFresh() bool {
	return p.view.IsFresh(p.now(), timing.Default.Of(timing.ViewAgeLimit))
}

// managers are the seeds, and those that the membership names besides.
func (p *process) managers() []string {
	out := append([]string{}, p.seeds...)
	for _, who := range p.membership.OfKind("manager") {
		isKnown := false
		for _, addr := range out {
			isKnown = isKnown || addr == who.Addr
		}
		if !isKnown {
			out = append(out, who.Addr)
		}
	}
	return out
}

// poll renews the session and takes news in, as session.Client does.
func (p *process) poll(targets []string, owns []wire.Owned) {
	if p.d.now-p.heard > p.d.bound(timing.AnswerTimeout) { // silent: turn to the next
		p.at, p.heard, p.isAsking = p.at+1, p.d.now, false
	}
	if p.isAsking {
		return
	}
	to, isKnown := p.d.at(targets[p.at%len(targets)])
	if !isKnown {
		return
	}
	p.isAsking = true
	ask := &wire.Poll{Who: p.who(), Revisions: p.view.Revisions(), MembershipHash: p.membership.Hash(), Owns: owns}
	life, asked := p.life, p.now()
	p.d.net.call(p.machineOf(), to, func(answer func(any)) { to.serve(ask, answer) }, func(reply any, err error) {
		news, isNews := reply.(*wire.News)
		if !p.isUp || p.life != life {
			return
		}
		p.isAsking = false
		if err == nil && isNews {
			p.d.whenThawed(&p.lifecycle, func() {
				p.heard = p.d.now
				if news.MembershipHash != ask.MembershipHash {
					p.membership.Update(news.MembershipHash, news.Members)
				}
				p.view.Update(news.Parts, asked)
				p.d.book.seen(p)
			})
		}
	})
}

// follower is an agent or an adapter: it acts on what it is told.
type follower struct {
	process
	targets func(*process) []string // whom it may ask
}

func (d *Deployment) follow(kind string, targets func(*process) []string) *follower {
	f := &follower{process{d: d, kind: kind, name: kind, addr: kind, zone: "c1"}, targets}
	f.seeds = d.seeds()
	f.serve = func(ask any, answer func(any)) {
		if poll, isPoll := ask.(*wire.Poll); isPoll {
			answer(session.NewsFor(poll, f.view, f.now(), f.membership))
		}
	}
	f.start()
	d.followers = append(d.followers, f)
	return f
}

func (f *follower) start() {
	if f.isUp {
		return
	}
	f.begin(fmt.Sprintf("%s.%d", f.kind, f.life+1))
	f.every(f.pause, func() { f.poll(f.targets(&f.process), nil) })
}

// seeds are the addresses that all daemons are told of at their start: those
// of the first managers, wherever those have gone since.
func (d *Deployment) seeds() []string {
	out := []string{}
	for _, m := range d.machines[:copies] {
		out = append(out, m.manager.addr)
	}
	return out
}
