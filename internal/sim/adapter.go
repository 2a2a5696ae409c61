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

// simAdapter is one adapter with its worker. The book is the real one.
type simAdapter struct {
	lifecycle
	w      *Places
	name   string
	book   *deliver.RunRegistry
	times  *groupclock.Cache
	born   time.Duration // when its own clock began
	fresh  time.Duration
	permit int64
	grants map[int64]time.Duration // permits not used yet, and until when they may be
	agent  *repair.ResultBuffer    // the agent beside it, which lives on when it is killed
	isGone bool                    // it was lost for good
	breaks []func()                // what its death means to runs under way
}

func (a *simAdapter) boot() string { return fmt.Sprint(a.name, ".", a.life) }

func (a *simAdapter) start() {
	if a.isUp || a.isGone {
		return
	}
	a.isUp, a.life, a.book, a.fresh = true, a.life+1, deliver.NewRunRegistry(1000), a.w.now
	a.times, a.born = &groupclock.Cache{}, a.w.now
	a.grants = map[int64]time.Duration{}
	a.w.Note("start %s", a.boot())
	life := a.life
	var tick func()
	tick = func() { // sessions and freshness: the control plane is one hop here
		if !a.isUp || a.life != life {
			return
		}
		if a.w.now >= a.frozen {
			at := a.w.now
			a.w.Send(a.name, "ctl", func() { a.w.Send("ctl", a.name, func() { a.fresh = max(a.fresh, at) }) })
			for _, s := range a.w.stores {
				who := wire.Who{Name: a.name, Kind: "adapter", Boot: a.boot()}
				a.w.Send(a.name, "ctl", func() {
					a.w.Send("ctl", s.name, func() {
						if s.isUp && a.w.now >= s.frozen {
							s.membership[a.name] = presence{who, a.w.now}
							s.fresh = a.w.now
						}
					})
				})
			}
		}
		a.w.After(timing.Default.Of(timing.Poll), tick)
	}
	tick()
}

func (a *simAdapter) kill() {
	if a.isUp {
		a.w.H.AddLost(check.Window{Adapter: a.name, From: a.w.now - time.Millisecond, Until: a.w.now})
		a.isUp, a.life = false, a.life+1
		for _, hang := range a.breaks {
			hang()
		}
		a.breaks = nil
		a.w.Note("kill %s", a.name)
	}
}

func (a *simAdapter) isFresh() bool { return a.w.now-a.fresh < timing.Default.Of(timing.ViewAgeLimit) }

// grant and use do as the real adapter's slots: a permit is used once, soon, and
// in the life that gave it.
func (a *simAdapter) grant() any {
	a.permit++
	a.grants[a.permit] = a.w.now + timing.Default.Of(timing.Permit)
	return a.permit
}

func (a *simAdapter) use(permit int64) bool {
	until, isGranted := a.grants[permit]
	delete(a.grants, permit)
	return isGranted && a.w.now <= until
}

// ask sends an ask and brings the reply back; a message lost on the way is
// told as Lost, late, as a broken session would be.
func (p *Places) ask(from string, a *simAdapter, serve func() any, answer func(any, error)) {
	isTold := false
	tell := func(reply any, err error) {
		if !isTold {
			isTold = true
			answer(reply, err)
		}
	}
	p.Send(from, a.name, func() {
		a.w.whenThawed(&a.lifecycle, func() {
			reply := serve()
			p.Send(a.name, from, func() { tell(reply, nil) })
		})
	})
	p.After(timing.Default.Of(timing.ConnectionTimeout), func() { tell(nil, errs.New(errs.Lost, "no answer")) })
}

func (a *simAdapter) serve(ask any) any {
	switch m := ask.(type) {
	case *wire.TellTime:
		return deliver.StoreGroupTime(a.times, m, a.w.now-a.born)
	case *wire.AskTime:
		if a.w.mutant == OwnCount { // else no replica's count would be ahead of its group's time
			return &wire.TimeKept{}
		}
		return deliver.ReportGroupTime(a.times, m, a.w.now-a.born)
	case *wire.Open:
		if m.Boot != a.boot() {
			if a.agent.Has(m.Id, m.Attempt) {
				return &wire.OpenAck{State: "open"}
			}
			return &wire.OpenAck{State: "gone"}
		}
		ack := a.book.ResolveOpen(m, a.w.now)
		a.w.Note("open %s/%d at %s, term %d: %s%s", m.Id, m.Attempt, a.boot(), m.Term, ack.State, ack.Kind)
		return ack
	case *wire.Run:
		if err := a.book.Admit(m, a.w.now); err != nil {
			return &wire.RunAck{Kind: string(errs.KindOf(err))}
		}
		if !a.use(m.Permit) {
			a.book.Remove(m)
			return &wire.RunAck{Kind: string(errs.DeadlineExceeded)}
		}
		a.carry(m)
		return &wire.RunAck{}
	}
	return nil
}

// placeOwner is what asks to a store need of its place.
type placeOwner interface {
	Take(*wire.Take, func(any))
	Settle(*wire.Settle, func(any))
	Outcome(*wire.Outcome, func(any))
	Look(*wire.Look, func(any))
}

// askStore brings an ask to a store and the answer back, or nothing.
func (p *Places) askStore(from string, s *simStore, ask func(placeOwner, func(any)), tell func(any)) {
	p.Send(from, s.name, func() {
		if !s.isUp {
			return
		}
		life := s.life
		_ = s.host.Do(func() {
			ask(s.place, func(reply any) {
				if s.isUp && s.life == life {
					p.Send(s.name, from, func() { tell(reply) })
				}
			})
		})
		s.pump()
	})
}
