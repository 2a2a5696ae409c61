// Package ownerclient calls the owner of a place or partition: the owner known from the membership first, then the
// store that an answer names, then every store in turn. It holds no state. Adapters, agents, managers and stores call
// it.
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

// Client calls the owners of a daemon's groups.
type Client struct {
	Node       *transport.Node
	Membership *session.Membership
	Bounds     timing.Bounds
	Link       *wire.Link
	// SendFunc replaces the transport if set.
	SendFunc func(ctx context.Context, addr string, request any) (any, error)
	// OnAttempt is called after each attempt of CallOwnerTracked if set.
	OnAttempt func(peer string, micros float64, isAnswered bool)
	// AttemptTimeout is the time limit of one attempt; 0 for timing.SettleTimeout.
	AttemptTimeout timing.Ratio
}

// immediateHops bounds how often a named owner is tried without a pause.
const immediateHops = 3

// CallOwner sends a request to the owner of a group until the owner answers or ctx ends. owned reports whether an
// answer came from the owner, and otherwise which store it names. The error tells whether the request may have taken
// effect: NotOwner and Full mean no, Undecided means that it may.
func (r *Client) CallOwner(ctx context.Context, id int64, request any, owned func(reply any) (isOwner bool, hint string)) (any, error) {
	reply, _, err := r.callOwner(ctx, id, request, owned, nil)
	return reply, err
}

// CallOwnerTracked is CallOwner for requests that must not be reported as without effect if they may have taken effect.
// isUncertain reports, also along with an owner's answer, that an earlier attempt of the same request went out and its
// outcome is unknown.
func (r *Client) CallOwnerTracked(ctx context.Context, id int64, request any, owned func(reply any) (isOwner bool, hint string)) (reply any, isUncertain bool, err error) {
	return r.callOwner(ctx, id, request, owned, r.OnAttempt)
}

// callOwner is the retry loop of CallOwner and CallOwnerTracked.
func (r *Client) callOwner(ctx context.Context, id int64, request any, owned func(reply any) (isOwner bool, hint string),
	onAttempt func(string, float64, bool)) (reply any, isUncertain bool, err error) {
	hint, next, hops := "", 0, 0
	if who, isKnown := r.Membership.Owner(id); isKnown {
		hint = who.Name
	}
	for {
		who, isKnown := r.Membership.Find(hint)
		if !isKnown {
			stores := r.Membership.OfKind("store")
			if len(stores) > 0 {
				who, isKnown = stores[next%len(stores)], true
				next++
			}
		}
		hint = ""
		if isKnown {
			began := time.Now()
			reply, err := r.CallMember(ctx, who, request)
			if onAttempt != nil {
				onAttempt(who.Name, float64(time.Since(began).Microseconds()), err == nil)
			}
			var unsent *transport.UnsentError
			switch {
			case err == nil:
				isOwner, named := owned(reply)
				// The store that was owner when the request arrived lost the group meanwhile: its successor may have
				// what it began.
				isUncertain = isUncertain || wire.ErrorKindOf(reply) == string(errs.Undecided)
				if isOwner {
					return reply, isUncertain, nil
				}
				if named != who.Name {
					hint = named
				}
			case !errors.As(err, &unsent):
				isUncertain = true
			}
		}
		wait := r.Bounds.Of(timing.StalePoll)
		if hint != "" && ctx.Err() == nil {
			if hops++; hops < immediateHops {
				continue // the owner was named: no need to wait
			}
			wait /= immediateHops // two stores may name each other while ownership moves
		}
		timing.Wait(ctx, wait)
		if ctx.Err() != nil {
			if isUncertain {
				return nil, true, errs.New(errs.Undecided, "call owner of group %d: a request was sent and not answered in time", id)
			}
			return nil, false, errs.New(errs.NotOwner, "call owner of group %d: no owner was found in time", id)
		}
	}
}

// CallMember sends a request to one daemon, once.
func (r *Client) CallMember(ctx context.Context, who wire.Who, request any) (any, error) {
	ctx, cancel := timing.Within(ctx, r.Bounds.Of(cmp.Or(r.AttemptTimeout, timing.SettleTimeout)))
	defer cancel()
	if r.SendFunc != nil {
		return r.SendFunc(ctx, who.Addr, request)
	}
	return r.Node.Peer(r.Link, who.Addr).Call(ctx, request)
}

// CallMembers sends a request to several daemons at once and returns the answers of those that answered. If SendFunc is
// set, they are called one after another on the caller's goroutine.
func (r *Client) CallMembers(ctx context.Context, members []wire.Who, request any) []any {
	answers := make(chan any, len(members))
	for _, who := range members {
		call := func() {
			reply, err := r.CallMember(ctx, who, request)
			if err != nil {
				reply = nil
			}
			answers <- reply
		}
		if r.SendFunc != nil {
			call()
		} else {
			go call()
		}
	}
	out := []any{}
	for range members {
		if reply := <-answers; reply != nil {
			out = append(out, reply)
		}
	}
	return out
}
