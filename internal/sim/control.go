package sim

import (
	"fmt"
	"time"

	"caperwheel/internal/config"
	"caperwheel/internal/deliver"
	"caperwheel/internal/duty"
	"caperwheel/internal/feed"
	"caperwheel/internal/host"
	"caperwheel/internal/session"
	"caperwheel/internal/store"
	"caperwheel/internal/timing"
	"caperwheel/internal/wire"
)

// Control simulates the control plane: one part replicated on three stores, managers that follow it, agents that
// follow the managers, and adapters that follow their agents and serve one rate-limited endpoint under its duty.
// Parts, hosts, views, registries, the planning of duties and the worker state are the production code.
type Control struct {
	*World
	stores    []*partStore
	managers  []*node
	agents    []*node
	adapters  []*node
	acked     []ackedEdit
	drained   map[string]time.Duration // zone -> when its drain was acknowledged
	Starts    []time.Duration          // start times of runs at the endpoint
	Breaches  []string                 // broken rules found so far
	rate      float64                  // of the endpoint, in runs per second
	editCount int
}

// ackedEdit is an acknowledged edit of the configuration, with the revision that it was based on.
type ackedEdit struct {
	revision int64
	at       time.Duration
	base     int64
}

// node is a manager, an agent or an adapter.
type node struct {
	lifecycle
	c           *Control
	kind        string
	name        string
	view        *feed.View
	membership  *session.Membership
	registry    *session.Registry
	targets     []*node // nodes to poll, one at a time
	targetIndex int
	heardAt     time.Duration // when the current target last answered or was chosen
	worker      *deliver.WorkerState
	term        int64 // of the duty that worker belongs to
	holdDown    duty.HoldDown
	proposals   *duty.Proposals
	freshSince  time.Duration // since when its view has been fresh
}

// partStore is a store with a replica of the one part.
type partStore struct {
	simStore
	c    *Control
	part *store.PartHost
}

// NewControl creates a control plane and starts all its processes.
func NewControl(w *World) *Control {
	c := &Control{World: w, rate: 10, drained: map[string]time.Duration{}}
	for i := range 3 {
		s := &partStore{c: c}
		s.w, s.name, s.disk = &PlaceCluster{World: w}, fmt.Sprintf("s%d", i+1), &Disk{w: w}
		c.stores = append(c.stores, s)
	}
	for _, s := range c.stores {
		for _, other := range c.stores {
			s.peers = append(s.peers, &other.simStore)
		}
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
		agent := add("agent", fmt.Sprintf("g%d", i+1), c.managers) // each adapter has a zone of its own
		c.agents = append(c.agents, agent)
		c.adapters = append(c.adapters, add("adapter", fmt.Sprintf("a%d", i+1), []*node{agent}))
	}
	return c
}

// start opens the store's replica from its disk.
func (s *partStore) start() {
	if s.isUp {
		return
	}
	s.isUp, s.generation = true, s.generation+1
	s.part = store.NewPartHost(s, feed.ConfigPart)
	h, err := host.New(host.Options{Id: 0, Self: s.name + "/0", Roster: []string{"s1/0", "s2/0", "s3/0"}, Bounds: timing.Default,
		Seed: s.c.Seed + uint64(s.generation), Disk: &wakingDisk{s.disk, &s.simStore}, Held: s.disk.Held(), Machine: s.part,
		Now: s.c.Now, Send: s.sendGroupMessage, OnFailure: s.Fail, CompactEntries: 60, MaxMessageBytes: 500, Schedule: s.schedule})
	if err != nil {
		panic(err)
	}
	s.host = h
	s.part.Attach(h)
	s.c.Tracef("start %s", s.name)
	s.startTicking(func() {})
}

// step does the periodic work of a manager or an adapter, if its view is fresh: a manager plans duties, an adapter
// that holds the duty starts runs.
func (n *node) step() {
	if !n.view.IsFresh(n.c.now, timing.Default.Of(timing.ViewAgeLimit)) {
		n.freshSince = n.c.now
		return
	}
	configs := config.Cache{View: n.view}
	compiled := configs.Current()
	if n.kind == "manager" {
		n.planDuties(compiled)
		return
	}
	n.c.checkViewAge(n)
	held, _ := compiled.Duties["p"].Get(config.EndpointWorker)
	if held.Holder != n.name || held.Boot != n.boot() || !compiled.MayStartWork(n.zone()) {
		n.worker = nil
		return
	}
	if n.worker == nil || n.term != held.Term {
		fence := time.Duration(0)
		if held.PreviousBoot != "" {
			fence = timing.Default.Of(timing.Fence)
		}
		n.worker, n.term = deliver.NewWorkerState(compiled.Rules.Pools["p"], fence, n.c.now), held.Term
	}
	if isGranted, _ := n.worker.Grant(n.c.now); isGranted {
		n.c.checkDrained(n)
		n.c.Starts = append(n.c.Starts, n.c.now+n.worker.PacingDelay(n.c.now))
		n.worker.RunEnded(true, 0, n.c.now)
	}
}

// planDuties proposes changes of the duty, if this manager ranks highest and its view has been fresh for a session
// timeout.
func (n *node) planDuties(compiled *config.Compiled) {
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
	n.holdDown.ObserveMembers(adapters, n.c.now)
	if duty.HighestRanked("pool/p", managers) != n.name || n.c.now-n.freshSince < timing.Default.Of(timing.SessionTimeout) {
		return
	}
	revision := func(key string) (int64, bool) {
		c, exists := n.view.Get(feed.ConfigPart, key)
		return map[bool]int64{true: c.Revision}[exists], c.Revision > 0
	}
	n.proposals.Expire(n.c.now)
	for _, change := range n.holdDown.Filter(duty.Plan("p", compiled, duty.Adapters{Members: adapters, Proposals: n.proposals}, revision), n.c.now) {
		n.holdDown.RecordMove(change, n.c.now)
		n.proposals.Add(change, n.c.now)
		e := wire.Edit{Key: config.DutyKey + change.Pool + "/" + change.Worker, Value: change.Next.Encode(), IfRevision: change.IfRevision}
		n.c.Tracef("%s assigns the endpoint to %s", n.name, change.Next.Boot)
		n.sendEdit(e, func(int64) {})
	}
}
