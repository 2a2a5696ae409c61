package sim

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"caperwheel/internal/check"
	"caperwheel/internal/config"
	"caperwheel/internal/errs"
	"caperwheel/internal/group"
	"caperwheel/internal/host"
	"caperwheel/internal/place"
	"caperwheel/internal/repair"
	"caperwheel/internal/store"
	"caperwheel/internal/timing"
	"caperwheel/internal/wire"
)

// PlaceCluster simulates one place with its stores, adapters, workers and callers. Group, host, place owner
// and the adapters' run registry are the production code; clock, network and disk are simulated.
type PlaceCluster struct {
	*World
	History           *check.History
	stores            []*simStore
	adapters          []*simAdapter
	rules             *config.Rules
	compile           func(runTimeout time.Duration) *config.Rules // compiles the configuration with a run time-out of the pool
	retention         time.Duration                                // how long final states of messages are kept
	serial            int
	runs              []*check.Run  // as the workers recorded them
	FailedRuns        int           // share of runs that fail, in thousandths
	LostReplies       int           // share of runs whose reply is lost, in thousandths
	StalledRuns       int           // share of runs that may exceed their time-out, in thousandths
	BrokenConnections int           // share of runs whose connection breaks, in thousandths
	accepted          []check.Sent  // messages acknowledged to their callers; queryMessage reads their state
	degradedAt        time.Duration // last time at which isHealthy was false
	proposals         *proposalLog
	mutant            Mutant
	breaches          []check.Breach // found while the simulation ran
	storesDownUntil   time.Duration  // no stopped store is restarted before this time
	hasOlderAdapters  bool           // the stores see adapters of a build that claims no operation keys
}

// simStore is one store. It is also the environment of its place.
type simStore struct {
	w             *PlaceCluster
	name          string
	disk          *Disk
	isUp          bool
	generation    int
	host          *host.Host
	place         *store.PlaceHost
	membership    map[string]adapterSession
	peers         []*simStore
	resultBuffer  *repair.ResultBuffer // results buffered for adapters; lost when the store is killed
	freshAt       time.Duration        // newest confirmation of its view; the store acts until it is too old
	diskFullUntil time.Duration        // its disk is full until then
	frozenUntil   time.Duration        // no work is done before this time; events until then are deferred
	level         int64                // the newest feature level that its build supports
}

// adapterSession is an adapter's session as one store has it.
type adapterSession struct {
	who     wire.Who
	heardAt time.Duration
}

// NewPlaceCluster creates a place with three stores and the given number of adapters, and starts it.
func NewPlaceCluster(w *World, adapters int, mutant Mutant) *PlaceCluster {
	return newMixedPlaceCluster(w, adapters, mutant, func(string) int64 { return place.NewestLevel })
}

// newMixedPlaceCluster is NewPlaceCluster with stores of several builds: level returns the newest feature
// level that a store supports.
func newMixedPlaceCluster(w *World, adapters int, mutant Mutant, level func(store string) int64) *PlaceCluster {
	p := &PlaceCluster{World: w, History: check.NewHistory(), proposals: newProposalLog(w), mutant: mutant}
	p.retention = time.Hour
	p.compile = func(runTimeout time.Duration) *config.Rules { return compileRules(runTimeout, p.retention) }
	p.rules = p.compile(defaultRunTimeout)
	p.History.LanePools["free"], p.History.LanePools["seq"], p.History.OrderedLanes["seq"] = []string{"work"}, []string{"work"}, true
	for i := range 3 {
		s := &simStore{w: p, name: fmt.Sprintf("s%d", i+1), disk: &Disk{w: w}}
		s.level = level(s.name)
		p.stores = append(p.stores, s)
	}
	for i := range adapters {
		a := &simAdapter{w: p, name: fmt.Sprintf("a%d", i+1)}
		p.adapters = append(p.adapters, a)
		a.resetAgent()
		p.deliverResults(a.name, func() *repair.ResultBuffer { return a.agent })
		a.start()
	}
	for _, s := range p.stores {
		s.peers = p.stores
		s.start()
		p.deliverResults(s.name, func() *repair.ResultBuffer {
			if !s.isUp || p.now < s.frozenUntil {
				return nil
			}
			return s.resultBuffer
		})
	}
	return p
}

// compileRules compiles the simulation's configuration with the given run time-out of the pool and retention
// of final states.
func compileRules(runTimeout, retention time.Duration) *config.Rules {
	rules, faults := config.Compile(fmt.Appendf(nil, `{"pools":{"work":{"bound":"%v"}},"lanes":{
		"free":{"pools":["work"],"attempts":0,"patience":"2m","retention":"%v"},
		"seq":{"pools":["work"],"attempts":4,"ordering":"key","patience":"2m","retention":"%v"}}}`, runTimeout, retention, retention))
	if len(faults) > 0 {
		panic(errs.New(errs.Internal, "compile the configuration of the simulation: %v", faults))
	}
	return rules
}

func (p *PlaceCluster) roster() []string {
	out := []string{}
	for _, s := range p.stores {
		out = append(out, s.name+"/0")
	}
	return out
}

func (s *simStore) start() {
	if s.isUp {
		return
	}
	s.frozenUntil = 0
	s.resultBuffer = repair.NewResultBuffer(1000, timing.Default.Of(timing.Resend), retryInterval)
	s.isUp, s.generation, s.membership, s.freshAt = true, s.generation+1, map[string]adapterSession{}, s.w.now
	s.place = store.NewPlaceHost(s, 0)
	h, err := host.New(host.Options{Id: 1, Self: s.name + "/0", Roster: s.w.roster(), Bounds: timing.Default,
		Seed: s.w.Seed + uint64(s.generation), Disk: &wakingDisk{s.disk, s}, Held: s.disk.Held(), Now: s.w.Now,
		Machine: &timedPlace{s.place, s, s.w.proposals.newTimeLead()}, Send: s.sendGroupMessage, OnFailure: s.Fail, CompactEntries: 300, MaxMessageBytes: 500, Schedule: s.schedule, Level: s.level})
	if err != nil {
		panic(err)
	}
	s.host = h
	s.place.Attach(&recordingGroup{h, s.w.proposals, s.w.mutant == UncheckedLevels})
	s.w.Tracef("start %s", s.name)
	s.startTicking(s.dispatch)
}

// schedule runs work of the host after a delay, once the store is not frozen; not after a restart.
func (s *simStore) schedule(span time.Duration, work func()) {
	generation := s.generation
	s.w.After(max(span, s.frozenUntil-s.w.now), func() {
		switch {
		case !s.isUp || s.generation != generation:
		case s.w.now < s.frozenUntil:
			s.schedule(0, work)
		default:
			work()
			s.runPending()
		}
	})
}

// startTicking ticks the host on the simulated clock and calls afterTick after each tick.
func (s *simStore) startTicking(afterTick func()) {
	generation := s.generation
	var tick func()
	tick = func() {
		if s.isUp && s.generation == generation {
			if s.w.now >= s.frozenUntil {
				s.host.Tick()
				s.runPending()
				afterTick()
			}
			s.w.After(20*time.Millisecond, tick)
		}
	}
	tick()
}

// runPending runs the host's pending work, unless the store is frozen.
func (s *simStore) runPending() {
	if s.w.now >= s.frozenUntil {
		s.host.RunPending()
	}
}

// freeze suspends all work of the store for up to 6 s.
func (s *simStore) freeze() {
	s.frozenUntil = s.w.now + time.Duration(s.w.Rand.IntN(6000))*time.Millisecond
	s.w.Tracef("freeze %s until %v", s.name, s.frozenUntil)
}

// kill stops the store as a power loss does: writes that are not synced may be lost.
func (s *simStore) kill() {
	if s.isUp {
		s.isUp, s.generation = false, s.generation+1
		s.disk.CutPower()
		s.w.Tracef("kill %s", s.name)
	}
}

// sendGroupMessage sends a group message to another store of the place.
func (s *simStore) sendGroupMessage(m wire.GroupMsg) {
	for _, to := range s.peers {
		if to.name == group.Name(m.To) {
			s.w.Send(s.name, to.name, func() {
				if to.isUp {
					to.host.Receive(m)
					to.runPending()
				}
			})
		}
	}
}

// dispatch stands in for the dispatcher: for messages that are ready it requests a permit from a random
// adapter.
func (s *simStore) dispatch() {
	if !s.host.IsOwner() || !s.IsFresh() {
		return
	}
	ready := s.place.Ready()
	for _, lane := range slices.Sorted(maps.Keys(ready)) { // in a fixed order, so that a seed replays exactly
		for range min(ready[lane], 3) {
			a := s.w.adapters[s.w.Rand.IntN(len(s.w.adapters))]
			who, isMember := s.Find(a.name)
			if !isMember {
				continue
			}
			requestedAt, generation := s.w.now, s.generation
			s.w.sendRequest(s.name, a, func() any {
				if !a.isFresh() || who.Boot != a.boot() {
					return nil
				}
				return a.grantPermit()
			}, func(reply any, err error) {
				if permit, isGranted := reply.(int64); err == nil && isGranted && s.isUp && s.generation == generation {
					g := store.SlotGrant{Pool: "work", Worker: "w-" + a.name, Holder: who, Permit: permit,
						Until: requestedAt + timing.Default.Of(timing.Permit)/2}
					_ = s.host.Do(func() { s.place.Start(lane, g) })
					s.runPending()
				}
			})
		}
	}
}
