// Package reach brings an ask to the owner of a place: by hint, then by what
// the asked store says, then by trying the others.
package reach

import (
	"context"
	"errors"
	"time"

	"caperwheel/internal/beat"
	"caperwheel/internal/mishap"
	"caperwheel/internal/session"
	"caperwheel/internal/transport"
	"caperwheel/internal/wire"
)

// Reach of a daemon.
type Reach struct {
	Node   *transport.Node
	Roll   *session.Roll
	Bounds beat.Bounds
	Link   *wire.Link
}

// Group asks the owner of a group until it answers or ctx ends. owned tells
// whether an answer came from the owner, and else whom it named. The mishap
// says whether the ask may have had an effect: NotOwner and Full mean no,
// Undecided means that it may.
func (r *Reach) Group(ctx context.Context, id int64, ask any, owned func(reply any) (isOwner bool, hint string)) (any, error) {
	mayHold := false
	hint, turn := "", 0
	if who, isKnown := r.Roll.Owner(id); isKnown {
		hint = who.Name
	}
	for {
		who, isKnown := r.Roll.Find(hint)
		if !isKnown {
			stores := r.Roll.Kind("store")
			if len(stores) > 0 {
				who, isKnown = stores[turn%len(stores)], true
				turn++
			}
		}
		hint = ""
		if isKnown {
			reply, err := r.one(ctx, who, ask)
			var unsent *transport.Unsent
			switch {
			case err == nil:
				isOwner, named := owned(reply)
				if isOwner {
					return reply, nil
				}
				if named != who.Name {
					hint = named
				}
			case !errors.As(err, &unsent):
				mayHold = true
			}
		}
		if hint != "" && ctx.Err() == nil {
			continue // the owner was named: no need to wait
		}
		select {
		case <-ctx.Done():
			if mayHold {
				return nil, mishap.New(mishap.Undecided, "group %d did not answer", id)
			}
			return nil, mishap.New(mishap.NotOwner, "no owner of group %d was found", id)
		case <-time.After(r.Bounds.Of(beat.Poll) / 2):
		}
	}
}

func (r *Reach) one(ctx context.Context, who wire.Who, ask any) (any, error) {
	ctx, cancel := context.WithTimeout(ctx, r.Bounds.Of(beat.Settle))
	defer cancel()
	return r.Node.Peer(r.Link, who.Addr).Call(ctx, ask)
}
