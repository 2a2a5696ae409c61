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

// process is the part common to all daemons of a deployment: a view, a membership, and a session with the
// daemon that it polls for changes.
type process struct {
	lifecycle
	d              *Deployment
	kind           string
	name           string
	addr           string
	zone           string
	boot           string
	machine        *machine // nil for a subscriber
	view           *feed.View
	membership     *session.Membership
	configs        *config.Cache
	handler        func(request any, answer func(any))
	seedAddrs      []string      // managers that it can poll without a membership
	targetIndex    int           // index of the polled target
	heardAt        time.Duration // time of the last reply to a poll, or of the last change of target
	isPolling      bool          // a poll is under way
	startedAt      time.Duration // start of its own clock
	newestRevision int64         // highest revision that its view has had since the last start
}

// begin starts the process with an empty view and a new boot id.
func (p *process) begin(boot string) {
	p.isUp, p.generation, p.frozenUntil = true, p.generation+1, 0
	p.boot, p.startedAt = boot, p.d.now
	p.view, p.membership, p.newestRevision = feed.NewView(extraParts), session.NewMembership(), 0
	p.configs = &config.Cache{View: p.view}
	p.targetIndex, p.heardAt, p.isPolling = p.d.Rand.IntN(10), p.d.now, false
	p.d.Tracef("start %s as %s", p.name, boot)
}

// now is the daemon's own clock, which starts at zero with each start of the process.
func (p *process) now() time.Duration { return p.d.now - p.startedAt }

// end stops the process.
func (p *process) end() {
	if p.isUp {
		p.isUp, p.generation = false, p.generation+1
		p.d.Tracef("end %s", p.name)
	}
}

// every runs work after each pause until the process stops; it skips the work while the process is frozen.
func (p *process) every(pause func() time.Duration, work func()) {
	generation := p.generation
	var tick func()
	tick = func() {
		if p.isUp && p.generation == generation {
			if p.d.now >= p.frozenUntil {
				work()
			}
			p.d.After(pause(), tick)
		}
	}
	p.d.After(time.Duration(p.d.Rand.IntN(30))*time.Millisecond, tick)
}

// pause returns the interval until the next poll.
func (p *process) pause() time.Duration { return session.PollInterval(p.view, p.now(), timing.Default) }

func (p *process) who() wire.Who {
	return wire.Who{Name: p.name, Kind: p.kind, Boot: p.boot, Zone: p.zone, Addr: p.addr}
}

// isFresh reports whether the view is recent enough to act on.
func (p *process) isFresh() bool {
	return p.view.IsFresh(p.now(), timing.Default.Of(timing.ViewAgeLimit))
}

// managerAddrs returns the seed addresses and those of the other managers in the membership.
func (p *process) managerAddrs() []string {
	out := append([]string{}, p.seedAddrs...)
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

// poll renews the session and applies the changes in the reply, as session.Client does.
func (p *process) poll(targets []string, owns []wire.Owned) {
	if p.d.now-p.heardAt > p.d.bound(timing.AnswerTimeout) { // no reply: try the next target
		p.targetIndex, p.heardAt, p.isPolling = p.targetIndex+1, p.d.now, false
	}
	if p.isPolling {
		return
	}
	to, isKnown := p.d.processAt(targets[p.targetIndex%len(targets)])
	if !isKnown {
		return
	}
	p.isPolling = true
	request := &wire.Poll{Who: p.who(), Revisions: p.view.Revisions(), MembershipHash: p.membership.Hash(), Owns: owns}
	generation, polledAt := p.generation, p.now()
	p.d.net.call(p.machineAddr(), to, func(answer func(any)) { to.handler(request, answer) }, func(reply any, err error) {
		news, isNews := reply.(*wire.News)
		if !p.isUp || p.generation != generation {
			return
		}
		p.isPolling = false
		if err == nil && isNews {
			p.d.runWhenThawed(&p.lifecycle, func() {
				p.heardAt = p.d.now
				if news.MembershipHash != request.MembershipHash {
					p.membership.Update(news.MembershipHash, news.Members)
				}
				p.view.Update(news.Parts, polledAt)
				p.d.oracle.checkView(p)
			})
		}
	})
}

// subscriber is an agent or an adapter. It holds a view only and has no part in a group.
type subscriber struct {
	process
	targets func(*process) []string // addresses that it may poll
}

// addSubscriber adds and starts an agent or an adapter.
func (d *Deployment) addSubscriber(kind string, targets func(*process) []string) *subscriber {
	f := &subscriber{process{d: d, kind: kind, name: kind, addr: kind, zone: "c1"}, targets}
	f.seedAddrs = d.seedAddrs()
	f.handler = func(request any, answer func(any)) {
		if poll, isPoll := request.(*wire.Poll); isPoll {
			answer(session.NewsFor(poll, f.view, f.now(), f.membership))
		}
	}
	f.start()
	d.subscribers = append(d.subscribers, f)
	return f
}

func (f *subscriber) start() {
	if f.isUp {
		return
	}
	f.begin(fmt.Sprintf("%s.%d", f.kind, f.generation+1))
	f.every(f.pause, func() { f.poll(f.targets(&f.process), nil) })
}

// seedAddrs returns the seed addresses that every daemon is started with: those of the first managers, even
// if their machines have been removed since.
func (d *Deployment) seedAddrs() []string {
	out := []string{}
	for _, m := range d.machines[:replicaCount] {
		out = append(out, m.manager.addr)
	}
	return out
}
