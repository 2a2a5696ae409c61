package sim

import (
	"fmt"
	"time"

	"caperwheel/internal/check"
	"caperwheel/internal/deliver"
	"caperwheel/internal/errs"
	"caperwheel/internal/groupclock"
	"caperwheel/internal/repair"
	"caperwheel/internal/timing"
	"caperwheel/internal/wire"
)

// simAdapter simulates an adapter together with its worker. Its registry of open runs is the production one.
type simAdapter struct {
	lifecycle
	w          *PlaceCluster
	name       string
	runs       *deliver.RunRegistry
	groupTimes *groupclock.Cache
	startedAt  time.Duration           // start of its own clock
	fresh      time.Duration           // when the control plane last confirmed the view
	lastPermit int64                   // number of the newest permit
	grants     map[int64]time.Duration // unused permits and their deadlines
	agent      *repair.ResultBuffer    // the co-located agent, which survives a kill of the adapter
	isRemoved  bool                    // it never restarts
	onKill     []func()                // called when the adapter is killed, to break the runs in progress
}

// boot identifies the current generation of the adapter.
func (a *simAdapter) boot() string { return fmt.Sprint(a.name, ".", a.generation) }

// start begins a new generation with an empty registry and renews the sessions at the stores from then on.
func (a *simAdapter) start() {
	if a.isUp || a.isRemoved {
		return
	}
	a.isUp, a.generation, a.runs, a.fresh = true, a.generation+1, deliver.NewRunRegistry(1000), a.w.now
	a.groupTimes, a.startedAt = &groupclock.Cache{}, a.w.now
	a.grants = map[int64]time.Duration{}
	a.w.Tracef("start %s", a.boot())
	generation := a.generation
	var tick func()
	tick = func() { // renews sessions and freshness; the control plane is a single hop here
		if !a.isUp || a.generation != generation {
			return
		}
		if a.w.now >= a.frozenUntil {
			at := a.w.now
			a.w.Send(a.name, "ctl", func() { a.w.Send("ctl", a.name, func() { a.fresh = max(a.fresh, at) }) })
			for _, s := range a.w.stores {
				who := wire.Who{Name: a.name, Kind: "adapter", Boot: a.boot()}
				a.w.Send(a.name, "ctl", func() {
					a.w.Send("ctl", s.name, func() {
						if s.isUp && a.w.now >= s.frozenUntil {
							s.membership[a.name] = adapterSession{who, a.w.now}
							s.freshAt = a.w.now
						}
					})
				})
			}
		}
		a.w.After(timing.Default.Of(timing.Poll), tick)
	}
	tick()
}

// kill ends the process. It records the loss, which the check of the history takes into account, and breaks the
// runs in progress.
func (a *simAdapter) kill() {
	if a.isUp {
		a.w.History.AddKill(check.KillWindow{Adapter: a.name, From: a.w.now - time.Millisecond, Until: a.w.now})
		a.isUp, a.generation = false, a.generation+1
		for _, breakRun := range a.onKill {
			breakRun()
		}
		a.onKill = nil
		a.w.Tracef("kill %s", a.name)
	}
}

// isFresh reports whether the view is recent enough for the adapter to act.
func (a *simAdapter) isFresh() bool { return a.w.now-a.fresh < timing.Default.Of(timing.ViewAgeLimit) }

// grantPermit issues a permit. As in the slots of the real adapter, it can be used once, before its deadline, and
// only in the generation that issued it.
func (a *simAdapter) grantPermit() any {
	a.lastPermit++
	a.grants[a.lastPermit] = a.w.now + timing.Default.Of(timing.Permit)
	return a.lastPermit
}

// usePermit consumes a permit and reports whether it was still valid.
func (a *simAdapter) usePermit(permit int64) bool {
	until, isGranted := a.grants[permit]
	delete(a.grants, permit)
	return isGranted && a.w.now <= until
}

// sendRequest sends a request to an adapter and passes the reply to done. If the request or the reply is lost, done
// gets an error of kind Lost after the connection timeout, as from a broken session.
func (p *PlaceCluster) sendRequest(from string, a *simAdapter, serve func() any, done func(any, error)) {
	isAnswered := false
	finish := func(reply any, err error) {
		if !isAnswered {
			isAnswered = true
			done(reply, err)
		}
	}
	p.Send(from, a.name, func() {
		a.w.runWhenThawed(&a.lifecycle, func() {
			reply := serve()
			p.Send(a.name, from, func() { finish(reply, nil) })
		})
	})
	p.After(timing.Default.Of(timing.ConnectionTimeout), func() { finish(nil, errs.New(errs.Lost, "no answer within the connection timeout")) })
}

// serve answers a request of a store or an owner.
func (a *simAdapter) serve(request any) any {
	switch m := request.(type) {
	case *wire.TellTime:
		return deliver.StoreGroupTime(a.groupTimes, m, a.w.now-a.startedAt)
	case *wire.AskTime:
		if a.w.mutant == LocalGroupTime { // otherwise no replica's own count would be ahead of the group's time
			return &wire.TimeKept{}
		}
		return deliver.ReportGroupTime(a.groupTimes, m, a.w.now-a.startedAt)
	case *wire.Open:
		if m.Boot != a.boot() {
			if a.agent.Has(m.Id, m.Attempt) {
				return &wire.OpenAck{State: "open"}
			}
			return &wire.OpenAck{State: "gone"}
		}
		ack := a.runs.ResolveOpen(m, a.w.now)
		a.w.Tracef("open %s/%d at %s, term %d: %s%s", m.Id, m.Attempt, a.boot(), m.Term, ack.State, ack.Kind)
		return ack
	case *wire.Run:
		if err := a.runs.Admit(m, a.w.now); err != nil {
			return &wire.RunAck{Kind: string(errs.KindOf(err))}
		}
		if !a.usePermit(m.Permit) {
			a.runs.Remove(m)
			return &wire.RunAck{Kind: string(errs.DeadlineExceeded)}
		}
		a.startRun(m)
		return &wire.RunAck{}
	}
	return nil
}

// placeOwner is the interface of a place to requests from callers and adapters.
type placeOwner interface {
	Take(*wire.Take, func(any))
	Settle(*wire.Settle, func(any))
	Outcome(*wire.Outcome, func(any))
	Look(*wire.Look, func(any))
}

// sendToStore sends a request to a store and passes the reply to done; done is not called if the request or the
// reply is lost.
func (p *PlaceCluster) sendToStore(from string, s *simStore, send func(placeOwner, func(any)), done func(any)) {
	p.Send(from, s.name, func() {
		if !s.isUp {
			return
		}
		generation := s.generation
		_ = s.host.Do(func() {
			send(s.place, func(reply any) {
				if s.isUp && s.generation == generation {
					p.Send(s.name, from, func() { done(reply) })
				}
			})
		})
		s.runPending()
	})
}
