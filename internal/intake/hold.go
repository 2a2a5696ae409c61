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

// holdPercent is the part of its caller's time, in hundredths, after which a
// message is given up: the caller can then come back, to another adapter.
const holdPercent = 45

// maxPlacesTried is how many places are asked to hold a message that may go to any.
const maxPlacesTried = 4

// hold gives the message to its place's owner. What is not known to be held
// after a while is settled: held, or never. One that has an idempotency key is
// not settled against its caller, who is going to send it again; nor one whose
// caller does not wait; nor any once the daemon is about to stop.
func (in *Intake) hold(e *request) error {
	if e.deadline > 0 {
		return in.holdWithinDeadline(e)
	}
	ctx, cancel := context.WithTimeout(e.ctx, in.d.Bounds.Of(timing.SettleTimeout)*2)
	defer cancel()
	isHeld, isOpen, cause := in.askOwner(ctx, in.owners, e)
	if isHeld || !isOpen {
		return cause
	}
	if e.take.IdempotencyKey == "" && e.operationKey == "" && !errors.Is(context.Cause(e.ctx), web.ErrStopping) {
		// The caller may have gone; the message's fate is settled all the same.
		ctx, cancel = context.WithTimeout(context.WithoutCancel(e.ctx), in.d.Bounds.Of(timing.SettleTimeout)*2)
		defer cancel()
		ask := &wire.Settle{Place: e.take.Place, Id: e.take.Id, Lane: e.lane.Name}
		if reply, err := in.owners.CallOwner(ctx, wire.FirstPlaceGroup+e.take.Place, ask, isOwner); err == nil {
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

// holdWithinDeadline does it within a part of the caller's time. As long as no store
// can have a message that may go to any place, other places are tried.
func (in *Intake) holdWithinDeadline(e *request) error {
	ctx, cancel := context.WithTimeout(e.ctx, e.deadline*holdPercent/100)
	defer cancel()
	for turn := 1; ; turn++ {
		isLast := e.take.Key != "" || e.operationKey != "" || turn == maxPlacesTried
		asking, stop := ctx, context.CancelFunc(func() {})
		if !isLast {
			asking, stop = context.WithTimeout(ctx, in.d.Bounds.Of(timing.AttemptTimeout))
		}
		isHeld, isOpen, cause := in.askOwner(asking, in.quickOwners, e)
		stop()
		if isOpen && !isLast { // this place may have it: no other may, and its next owner can tell
			isHeld, _, _ = in.askOwner(ctx, in.quickOwners, e)
		}
		switch {
		case isHeld:
			return nil
		case isOpen:
			return in.undecided(e)
		case isLast || ctx.Err() != nil || e.taken != nil && e.taken.Kind != string(errs.Full):
			return cause
		}
		in.assignPlace(e)
	}
}

// askOwner brings the take to its owner. Without a cause the owner has answered, and
// taken has its word.
func (in *Intake) askOwner(ctx context.Context, owners ownerClient, e *request) (isHeld, isOpen bool, cause error) {
	e.taken = nil
	reply, isOpen, err := owners.CallOwnerTracked(ctx, wire.FirstPlaceGroup+e.take.Place, &e.take, isOwner)
	e.mayBeHeldEarlier = e.mayBeHeldEarlier || isOpen
	if err != nil {
		return false, isOpen, errs.New(errs.NotOwner, "the message's place cannot be reached")
	}
	e.taken = reply.(*wire.Taken)
	if e.operationKey != "" && e.taken.Kind == string(errs.Conflict) { // held since an earlier send, which had other bytes
		e.taken = &wire.Taken{Id: e.take.Id, State: string(place.Held), IsRepeat: true}
	}
	if e.taken.Kind == "" || !isOpen || e.taken.Kind == string(errs.Rejected) {
		return e.taken.Kind == "", false, nil
	}
	return false, true, errs.New(errs.Kind(e.taken.Kind), "%s", e.taken.Text) // but an earlier ask may be held yet
}

func (in *Intake) undecided(e *request) error {
	e.mayBeHeld = true
	return errs.New(errs.Undecided, "whether the message is held is not known yet; ask for it by id")
}
