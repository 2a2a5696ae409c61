// Package reach brings an ask to the owner of a place: by hint, then by what
// the asked store says, then by trying the others.
package reach

import (
	"cmp"
	"context"
	"errors"
	"time"

	"caperwheel/internal/errs"
	"caperwheel/internal/session"
	"caperwheel/internal/timing"
	"caperwheel/internal/transport"
	"caperwheel/internal/wire"
)

// Reach of a daemon.
type Reach struct {
	Node       *transport.Node
	Membership *session.Membership
	Bounds     timing.Bounds
	Link       *wire.Link
	Call       func(ctx context.Context, addr string, ask any) (any, error) // the transport's, if not given
	Saw        func(peer string, micros float64, isAnswered bool)           // told of each try of Ask, if given
	Try        timing.Ratio                                                 // how long one try waits; 0 for Settle
}

// freeHops is how often an ask follows a named owner without a pause.
const freeHops = 3

// Group asks the owner of a group until it answers or ctx ends. owned tells
// whether an answer came from the owner, and else whom it named. The error
// says whether the ask may have had an effect: NotOwner and Full mean no,
// Undecided means that it may.
func (r *Reach) Group(ctx context.Context, id int64, ask any, owned func(reply any) (isOwner bool, hint string)) (any, error) {
	reply, _, err := r.ask(ctx, id, ask, owned, nil)
	return reply, err
}

// Ask is Group for asks that must not be said to have had no effect when they
// may: isOpen tells, also with an owner's answer, that the same ask went out
// before and nobody knows what became of it.
func (r *Reach) Ask(ctx context.Context, id int64, ask any, owned func(reply any) (isOwner bool, hint string)) (reply any, isOpen bool, err error) {
	return r.ask(ctx, id, ask, owned, r.Saw)
}

func (r *Reach) ask(ctx context.Context, id int64, ask any, owned func(reply any) (isOwner bool, hint string),
	saw func(string, float64, bool)) (reply any, isOpen bool, err error) {
	hint, turn, hops := "", 0, 0
	if who, isKnown := r.Membership.Owner(id); isKnown {
		hint = who.Name
	}
	for {
		who, isKnown := r.Membership.Find(hint)
		if !isKnown {
			stores := r.Membership.Kind("store")
			if len(stores) > 0 {
				who, isKnown = stores[turn%len(stores)], true
				turn++
			}
		}
		hint = ""
		if isKnown {
			began := time.Now()
			reply, err := r.One(ctx, who, ask)
			if saw != nil {
				saw(who.Name, float64(time.Since(began).Microseconds()), err == nil)
			}
			var unsent *transport.Unsent
			switch {
			case err == nil:
				isOwner, named := owned(reply)
				// Whoever was owner when the ask came has lost its place over it: the
				// next owner may have what it began.
				isOpen = isOpen || wire.ErrorOf(reply) == string(errs.Undecided)
				if isOwner {
					return reply, isOpen, nil
				}
				if named != who.Name {
					hint = named
				}
			case !errors.As(err, &unsent):
				isOpen = true
			}
		}
		wait := r.Bounds.Of(timing.StalePoll)
		if hint != "" && ctx.Err() == nil {
			if hops++; hops < freeHops {
				continue // the owner was named: no need to wait
			}
			wait /= freeHops // two name each other while ownership moves
		}
		timing.Wait(ctx, wait)
		if ctx.Err() != nil {
			if isOpen {
				return nil, true, errs.New(errs.Undecided, "group %d did not answer", id)
			}
			return nil, false, errs.New(errs.NotOwner, "no owner of group %d was found", id)
		}
	}
}

// One asks one daemon, once.
func (r *Reach) One(ctx context.Context, who wire.Who, ask any) (any, error) {
	ctx, cancel := timing.Within(ctx, r.Bounds.Of(cmp.Or(r.Try, timing.SettleTimeout)))
	defer cancel()
	if r.Call != nil {
		return r.Call(ctx, who.Addr, ask)
	}
	return r.Node.Peer(r.Link, who.Addr).Call(ctx, ask)
}

// All asks several daemons at once and gives the answers of those that answered.
// Where Call is given they are asked one after another, on the caller's goroutine.
func (r *Reach) All(ctx context.Context, whom []wire.Who, ask any) []any {
	answers := make(chan any, len(whom))
	for _, who := range whom {
		one := func() {
			reply, err := r.One(ctx, who, ask)
			if err != nil {
				reply = nil
			}
			answers <- reply
		}
		if r.Call != nil {
			one()
		} else {
			go one()
		}
	}
	out := []any{}
	for range whom {
		if reply := <-answers; reply != nil {
			out = append(out, reply)
		}
	}
	return out
}
