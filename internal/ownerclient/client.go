// Package ownerclient brings an ask to the owner of a place: by hint, then by what
// the asked store says, then by trying the others.
package ownerclient

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

// Client of a daemon.
type Client struct {
	Node           *transport.Node
	Membership     *session.Membership
	Bounds         timing.Bounds
	Link           *wire.Link
	SendFunc       func(ctx context.Context, addr string, ask any) (any, error) // the transport's, if not given
	OnAttempt      func(peer string, micros float64, isAnswered bool)           // told of each try of Ask, if given
	AttemptTimeout timing.Ratio                                                 // how long one try waits; 0 for Settle
}

// immediateHops is how often an ask follows a named owner without a pause.
const immediateHops = 3

// CallOwner asks the owner of a group until it answers or ctx ends. owned tells
// whether an answer came from the owner, and else whom it named. The error
// says whether the ask may have had an effect: NotOwner and Full mean no,
// Undecided means that it may.
func (r *Client) CallOwner(ctx context.Context, id int64, ask any, owned func(reply any) (isOwner bool, hint string)) (any, error) {
	reply, _, err := r.ask(ctx, id, ask, owned, nil)
	return reply, err
}

// CallOwnerTracked is Group for asks that must not be said to have had no effect when they
// may: isOpen tells, also with an owner's answer, that the same ask went out
// before and nobody knows what became of it.
func (r *Client) CallOwnerTracked(ctx context.Context, id int64, ask any, owned func(reply any) (isOwner bool, hint string)) (reply any, isOpen bool, err error) {
	return r.ask(ctx, id, ask, owned, r.OnAttempt)
}

func (r *Client) ask(ctx context.Context, id int64, ask any, owned func(reply any) (isOwner bool, hint string),
	saw func(string, float64, bool)) (reply any, isOpen bool, err error) {
	hint, turn, hops := "", 0, 0
	if who, isKnown := r.Membership.Owner(id); isKnown {
		hint = who.Name
	}
	for {
		who, isKnown := r.Membership.Find(hint)
		if !isKnown {
			stores := r.Membership.OfKind("store")
			if len(stores) > 0 {
				who, isKnown = stores[turn%len(stores)], true
				turn++
			}
		}
		hint = ""
		if isKnown {
			began := time.Now()
			reply, err := r.CallMember(ctx, who, ask)
			if saw != nil {
				saw(who.Name, float64(time.Since(began).Microseconds()), err == nil)
			}
			var unsent *transport.UnsentError
			switch {
			case err == nil:
				isOwner, named := owned(reply)
				// Whoever was owner when the ask came has lost its place over it: the
				// next owner may have what it began.
				isOpen = isOpen || wire.ErrorKindOf(reply) == string(errs.Undecided)
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
			if hops++; hops < immediateHops {
				continue // the owner was named: no need to wait
			}
			wait /= immediateHops // two name each other while ownership moves
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

// CallMember asks one daemon, once.
func (r *Client) CallMember(ctx context.Context, who wire.Who, ask any) (any, error) {
	ctx, cancel := timing.Within(ctx, r.Bounds.Of(cmp.Or(r.AttemptTimeout, timing.SettleTimeout)))
	defer cancel()
	if r.SendFunc != nil {
		return r.SendFunc(ctx, who.Addr, ask)
	}
	return r.Node.Peer(r.Link, who.Addr).Call(ctx, ask)
}

// CallMembers asks several daemons at once and gives the answers of those that answered.
// Where Call is given they are asked one after another, on the caller's goroutine.
func (r *Client) CallMembers(ctx context.Context, whom []wire.Who, ask any) []any {
	answers := make(chan any, len(whom))
	for _, who := range whom {
		one := func() {
			reply, err := r.CallMember(ctx, who, ask)
			if err != nil {
				reply = nil
			}
			answers <- reply
		}
		if r.SendFunc != nil {
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
