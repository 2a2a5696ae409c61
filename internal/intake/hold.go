package intake

import (
	"context"
	"errors"

	"caperwheel/internal/errs"
	"caperwheel/internal/place"
	"caperwheel/internal/timing"
	"caperwheel/internal/web"
	"caperwheel/internal/wire"
)

// holdPercent is the share of the caller's deadline after which the adapter gives up, so that the caller has time to
// retry through another adapter.
const holdPercent = 45

// maxPlacesTried bounds the places that are tried for a message that may go to any.
const maxPlacesTried = 4

// hold has the message held by its place's owner. If the outcome is unknown after a while, the message is settled: the
// owner decides that it is held, or that it never will be. Messages with an idempotency or operation key are not
// settled, since their caller sends them again; nor those with a short deadline; nor any while the daemon is stopping.
func (in *Intake) hold(e *request) error {
	if e.deadline > 0 {
		return in.holdWithinDeadline(e)
	}
	ctx, cancel := context.WithTimeout(e.ctx, in.d.Bounds.Of(timing.SettleTimeout)*2)
	defer cancel()
	isHeld, mayBeHeld, cause := in.askOwner(ctx, in.owners, e)
	if isHeld || !mayBeHeld {
		return cause
	}
	if e.take.IdempotencyKey == "" && e.operationKey == "" && !errors.Is(context.Cause(e.ctx), web.ErrStopping) {
		// Settled even if the caller has gone.
		ctx, cancel = context.WithTimeout(context.WithoutCancel(e.ctx), in.d.Bounds.Of(timing.SettleTimeout)*2)
		defer cancel()
		settle := &wire.Settle{Place: e.take.Place, Id: e.take.Id, Lane: e.lane.Name}
		if reply, err := in.owners.CallOwner(ctx, wire.FirstPlaceGroup+e.take.Place, settle, isOwner); err == nil {
			if e.taken = reply.(*wire.Taken); e.taken.Kind == string(errs.Rejected) {
				return cause
			}
			if e.taken.Kind == "" {
				return nil
			}
		}
	}
	return in.undecided(e)
}

// holdWithinDeadline is hold for callers with a deadline; it uses a part of that. As long as no store can have the
// message and it may go to any place, it tries other places.
func (in *Intake) holdWithinDeadline(e *request) error {
	ctx, cancel := context.WithTimeout(e.ctx, e.deadline*holdPercent/100)
	defer cancel()
	for attempt := 1; ; attempt++ {
		isLast := e.take.Key != "" || e.operationKey != "" || attempt == maxPlacesTried
		attemptCtx, cancelAttempt := ctx, context.CancelFunc(func() {})
		if !isLast {
			attemptCtx, cancelAttempt = context.WithTimeout(ctx, in.d.Bounds.Of(timing.AttemptTimeout))
		}
		isHeld, mayBeHeld, cause := in.askOwner(attemptCtx, in.quickOwners, e)
		cancelAttempt()
		if mayBeHeld && !isLast { // this place may hold it, so no other may be tried; its next owner can tell
			isHeld, _, _ = in.askOwner(ctx, in.quickOwners, e)
		}
		switch {
		case isHeld:
			return nil
		case mayBeHeld:
			return in.undecided(e)
		case isLast || ctx.Err() != nil || e.taken != nil && e.taken.Kind != string(errs.Full):
			return cause
		}
		in.assignPlace(e)
	}
}

// askOwner has the message held by the owner of its place. If cause is nil, the owner has answered and e.taken is its
// answer. mayBeHeld means that the message may be held although that is not confirmed.
func (in *Intake) askOwner(ctx context.Context, owners ownerClient, e *request) (isHeld, mayBeHeld bool, cause error) {
	if e.operation == nil {
		return in.sendToPlace(ctx, owners, e)
	}
	for request, number := e.operation.Next(); request != nil; request, number = e.operation.Next() {
		if take, isTake := request.(*wire.Take); isTake {
			e.take = *take
			if _, mayBeHeld, cause = in.sendToPlace(ctx, owners, e); cause != nil {
				return false, mayBeHeld, cause
			}
			e.operation.Reply(e.taken)
			continue
		}
		reply, err := owners.CallOwner(ctx, wire.FirstPlaceGroup+number, request, isOwner)
		if err != nil { // the message itself was not sent
			return false, false, errs.New(errs.NotOwner, "hold message: the home of its operation key did not answer")
		}
		e.operation.Reply(reply)
	}
	e.taken = e.operation.Outcome()
	if e.operation.IsHomeKnown() {
		in.knownHomes[HomeOf(e.operationKey, int64(len(in.knownHomes)))].Store(true)
	}
	return e.taken.Kind == "", false, nil
}

// sendToPlace sends the message to the owner of its place; the results are those of askOwner.
func (in *Intake) sendToPlace(ctx context.Context, owners ownerClient, e *request) (isHeld, mayBeHeld bool, cause error) {
	e.taken = nil
	take := e.take // an attempt that was given up may still be sent while e.take is changed
	reply, mayBeHeld, err := owners.CallOwnerTracked(ctx, wire.FirstPlaceGroup+take.Place, &take, isOwner)
	e.mayBeHeldEarlier = e.mayBeHeldEarlier || mayBeHeld
	if err != nil {
		return false, mayBeHeld, errs.New(errs.NotOwner, "hold message: no owner of its place answered")
	}
	e.taken = reply.(*wire.Taken)
	// An earlier request with the same key and another body is held.
	if e.operationKey != "" && e.taken.Kind == string(errs.Conflict) {
		e.taken = &wire.Taken{Id: e.take.Id, State: string(place.Held), IsRepeat: true}
	}
	if e.taken.Kind == "" || !mayBeHeld || isDefiniteRefusal(errs.Kind(e.taken.Kind)) {
		return e.taken.Kind == "", false, nil
	}
	return false, true, errs.New(errs.Kind(e.taken.Kind), "%s", e.taken.Text) // an earlier attempt may still be held
}

// isDefiniteRefusal reports whether a place that refuses a message with this kind has not accepted an earlier attempt
// with the same id either.
func isDefiniteRefusal(kind errs.Kind) bool {
	return kind == errs.Rejected || kind == errs.Bound || kind == errs.Unsupported
}

// undecided returns the error for a message that may be held.
func (in *Intake) undecided(e *request) error {
	e.mayBeHeld = true
	return errs.New(errs.Undecided, "hold message: the outcome is not known yet; look the message up by its id")
}
