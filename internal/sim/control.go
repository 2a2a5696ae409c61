package sim

import (
	"fmt"
	"time"

	"caperwheel/internal/beat"
	"caperwheel/internal/charter"
	"caperwheel/internal/deliver"
	"caperwheel/internal/duty"
	"caperwheel/internal/feed"
	"caperwheel/internal/group"
	"caperwheel/internal/host"
	"caperwheel/internal/session"
	"caperwheel/internal/store"
	"caperwheel/internal/wire"
)

// Control simulates the control plane: one part on three stores, managers that
// follow it, agents that follow managers, and adapters that follow their
// agents and serve one capped endpoint under its duty. Parts, hosts, views,
// registries, the plan of duties and the workers' state are the real ones.
type Control struct {
	*World
	stores   []*partStore
	managers []*node
	agents   []*node
	adapters []*node
	acked    []ackedEdit
	Acts     []time.Duration // starts at the endpoint
	Broken   []string
	rate     float64
	edits    int
}

type ackedEdit struct {
	stamp int64
	at    time.Duration
	base  int64
}

// node is a manager, an agent or an adapter.
type node struct {
	c        *Control
	kind     string
	name     string
	isUp     bool
	life     int
	frozen   time.Duration
	view     *feed.View
	roll     *session.Roll
	registry *session.Registry
	targets  []*node
	at       int
	heard    time.Duration
	worker   *deliver.Worker
	term     int64
	steady   duty.Steady
	since    time.Duration // its view has been fresh since then
}

// partStore is a store with one part.
type partStore struct {
	simStore
	c    *Control
	part *store.PartHost
}

// NewControl lays everything out and starts it.
func NewControl(w *World) *Control {
	c := &Control{World: w, rate: 10}
	for i := range 3 {
		s := &partStore{c: c}
		s.w, s.name, s.disk = &Places{World: w}, fmt.Sprintf("s%d", i+1), &Disk{w: w}
		c.stores = append(c.stores, s)
	}
	for _, s := range c.stores {
		s.start()
	}
	add := func(kind, name string, targets []*node) *node {
		n := &node{c: c, kind: kind, name: name, targets: targets}
		n.start()
		return n
	}
	for i := range 2 {
		c.managers = append(c.managers, add("manager", fmt.Sprintf("m%d", i+1), nil))
	}
	for i := range 3 {
		agent := add("agent", fmt.Sprintf("g%d", i+1), c.managers)
		c.agents = append(c.agents, agent)
		c.adapters = append(c.adapters, add("adapter", fmt.Sprintf("a%d", i+1), []*node{agent}))
	}
	return c
}

func (s *partStore) start() {
	if s.isUp {
		return
	}
	s.isUp, s.life = true, s.life+1
	s.part = store.NewPartHost(s, feed.CharterPart)
	h, err := host.New(host.Options{Id: 0, Self: s.name + "/0", Roster: []string{"s1/0", "s2/0", "s3/0"}, Bounds: beat.Default,
		Seed: s.c.Seed + uint64(s.life), Disk: &pumped{s.disk, &s.simStore}, Held: s.disk.Held(), Machine: s.part,
		Now: s.c.Now, Send: s.post, Failed: s.Fail, Compact: 60})
	if err != nil {
		panic(err)
	}
	s.host = h
	s.part.Use(h)
	s.c.Note("start %s", s.name)
	life := s.life
	var tick func()
	tick = func() {
		if s.isUp && s.life == life {
			h.Tick()
			h.Pump()
			s.c.After(20*time.Millisecond, tick)
		}
	}
	tick()
}

func (s *partStore) post(m wire.GroupMsg) {
	for _, to := range s.c.stores {
		if to.name == group.Name(m.To) {
			s.c.Send(s.name, to.name, func() {
				if to.isUp {
					to.host.Receive(m)
					to.host.Pump()
				}
			})
		}
	}
}

func (n *node) boot() string { return fmt.Sprint(n.name, ".", n.life) }

func (n *node) start() {
	if n.isUp {
		return
	}
	n.isUp, n.life, n.worker, n.term, n.steady = true, n.life+1, nil, 0, duty.Steady{Least: 2 * beat.Default.Charter}
	n.view, n.roll, n.registry = feed.NewView(0), session.NewRoll(), session.NewRegistry(beat.Default.Of(beat.Gone))
	n.c.Note("start %s", n.boot())
	life := n.life
	var tick, act func()
	tick = func() {
		if n.isUp && n.life == life {
			if n.c.now >= n.frozen {
				n.poll()
			}
			n.c.After(beat.Default.Of(beat.Poll), tick)
		}
	}
	act = func() {
		if n.isUp && n.life == life {
			if n.c.now >= n.frozen {
				n.act()
			}
			n.c.After(20*time.Millisecond, act)
		}
	}
	n.c.After(time.Duration(n.c.Rand.IntN(100))*time.Millisecond, tick)
	if n.kind != "agent" {
		n.c.After(0, act)
	}
}

func (n *node) kill() {
	if n.isUp {
		n.isUp, n.life = false, n.life+1
		n.c.Note("kill %s", n.name)
	}
}

func (n *node) whenThawed(work func()) {
	life := n.life
	n.c.After(max(0, n.frozen-n.c.now), func() {
		if n.isUp && n.life == life {
			if n.c.now < n.frozen {
				n.whenThawed(work)
				return
			}
			work()
		}
	})
}

func (n *node) who() wire.Who { return wire.Who{Name: n.name, Kind: n.kind, Boot: n.boot()} }

// poll asks for news, as session.Client and the manager's follow do.
func (n *node) poll() {
	asked := n.c.now
	if n.kind == "manager" {
		for _, s := range n.c.stores {
			n.follow(s, asked)
		}
		n.share()
		return
	}
	if asked-n.heard > beat.Default.Of(beat.Vote) {
		n.at, n.heard = n.at+1, asked
	}
	to := n.targets[n.at%len(n.targets)]
	ask := &wire.Poll{Who: n.who(), Stamps: n.view.Stamps()}
	if n.kind == "agent" {
		_, ask.Beside = n.registry.Members(asked)
	}
	life := n.life
	n.c.Send(n.name, to.name, func() {
		to.whenThawed(func() {
			to.registry.Hear(wire.Member{Who: ask.Who}, n.c.now, true)
			for _, m := range ask.Beside {
				to.registry.Hear(m, n.c.now, true)
			}
			news := session.NewsFor(ask, to.view, n.c.now, to.roll.All)
			n.c.Send(to.name, n.name, func() {
				if n.life == life {
					n.whenThawed(func() { n.heard = n.c.now; n.view.Take(news.Parts, asked) })
				}
			})
		})
	})
}

// share tells the other managers of our sessions, as managers do.
func (n *node) share() {
	n.registry.Hear(wire.Member{Who: n.who()}, n.c.now, true)
	own := n.registry.Own(n.c.now)
	for _, to := range n.c.managers {
		if to != n {
			n.c.Send(n.name, to.name, func() {
				to.whenThawed(func() {
					for _, m := range own {
						to.registry.Hear(m, n.c.now, false)
					}
				})
			})
		}
	}
}

func (n *node) follow(s *partStore, asked time.Duration) {
	stamp, life := n.view.Stamp(feed.CharterPart), n.life
	n.c.Send(n.name, s.name, func() {
		if !s.isUp {
			return
		}
		_ = s.host.Do(func() {
			news, isOurs := s.part.News(stamp)
			if isOurs {
				n.c.Send(s.name, n.name, func() {
					if n.life == life {
						n.whenThawed(func() { n.view.Take([]wire.PartNews{news}, asked) })
					}
				})
			}
		})
		s.host.Pump()
	})
}

// edit brings an edit to whichever store owns the part, and tells if it held.
func (n *node) edit(e wire.Edit, tell func(stamp int64)) {
	for _, s := range n.c.stores {
		n.c.Send(n.name, s.name, func() {
			if !s.isUp {
				return
			}
			life := s.life
			_ = s.host.Do(func() {
				s.part.Edit(e, func(reply any) {
					got, isEdited := reply.(*wire.Edited)
					if isEdited && got.Kind == "" && s.isUp && s.life == life {
						tell(got.Stamp)
					}
				})
			})
			s.host.Pump()
		})
	}
}

// act is what a manager or adapter does on its own.
func (n *node) act() {
	if !n.view.IsFresh(n.c.now, beat.Default.Of(beat.Fresh)) {
		n.since = n.c.now
		return
	}
	scenes := charter.Scenes{View: n.view}
	scene := scenes.Now()
	if n.kind == "manager" {
		n.plan(scene)
		return
	}
	n.c.checkAct(n)
	held := scene.Duties["p"][charter.Endpoint]
	if held.Holder != n.name || held.Boot != n.boot() {
		n.worker = nil
		return
	}
	if n.worker == nil || n.term != held.Term {
		fence := time.Duration(0)
		if held.Before != "" {
			fence = beat.Default.Of(beat.Fence)
		}
		n.worker, n.term = deliver.NewWorker(scene.Rules.Pools["p"], fence, n.c.now), held.Term
	}
	if isGranted, _ := n.worker.Grant(n.c.now); isGranted {
		n.c.Acts = append(n.c.Acts, n.c.now+n.worker.Pace(n.c.now))
		n.worker.Done(true, 0, n.c.now)
	}
}

func (n *node) plan(scene *charter.Scene) {
	_, members := n.registry.Members(n.c.now)
	adapters, managers := []wire.Who{}, []string{}
	for _, m := range members {
		switch m.Who.Kind {
		case "adapter":
			adapters = append(adapters, m.Who)
		case "manager":
			managers = append(managers, m.Who.Name)
		}
	}
	if duty.First("pool/p", managers) != n.name || n.c.now-n.since < beat.Default.Of(beat.Gone) {
		return
	}
	stamp := func(key string) (int64, bool) {
		c, isStanding := n.view.Get(feed.CharterPart, key)
		return map[bool]int64{true: c.Stamp}[isStanding], c.Stamp > 0
	}
	for _, change := range n.steady.Filter(duty.Plan("p", scene, adapters, stamp), n.c.now) {
		e := wire.Edit{Key: charter.DutyKey + change.Pool + "/" + change.Worker, Value: change.Next.Encode(), IfStamp: change.IfStamp}
		n.c.Note("%s gives the endpoint to %s", n.name, change.Next.Boot)
		n.edit(e, func(int64) {})
	}
}
