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

// holdShare is the part of its caller's time, in hundredths, after which a
// message is given up: the caller can then come back, to another adapter.
const holdShare = 45

// mostPlaces is how many places are asked to hold a message that may go to any.
const mostPlaces = 4

// hold gives the message to its place's owner. What is not known to be held
// after a while is settled: held, or never. One that has an idempotency key is
// not settled against its caller, who is going to send it again; nor one whose
// caller does not wait; nor any once the daemon is about to stop.
func (in *Intake) hold(e *request) error {
	if e.deadline > 0 {
		return in.holdQuickly(e)
	}
	ctx, cancel := context.WithTimeout(e.ctx, in.d.Bounds.Of(timing.SettleTimeout)*2)
	defer cancel()
	isHeld, isOpen, cause := in.ask(ctx, in.reach, e)
	if isHeld || !isOpen {
		return cause
	}
	if e.take.Idem == "" && e.name == "" && !errors.Is(context.Cause(e.ctx), web.ErrStopping) {
		// The caller may have gone; the message's fate is settled all the same.
		ctx, cancel = context.WithTimeout(context.WithoutCancel(e.ctx), in.d.Bounds.Of(timing.SettleTimeout)*2)
		defer cancel()
		ask := &wire.Settle{Place: e.take.Place, Id: e.take.Id, Lane: e.lane.Name}
		if reply, err := in.reach.Group(ctx, wire.PlaceGroup+e.take.Place, ask, isOwner); err == nil {
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

// holdQuickly does it within a part of the caller's time. As long as no store
// can have a message that may go to any place, other places are tried.
func (in *Intake) holdQuickly(e *request) error {
	ctx, cancel := context.WithTimeout(e.ctx, e.deadline*holdShare/100)
	defer cancel()
	for turn := 1; ; turn++ {
		isLast := e.take.Key != "" || e.name != "" || turn == mostPlaces
		asking, stop := ctx, context.CancelFunc(func() {})
		if !isLast {
			asking, stop = context.WithTimeout(ctx, in.d.Bounds.Of(timing.AttemptTimeout))
		}
		isHeld, isOpen, cause := in.ask(asking, in.quick, e)
		stop()
		if isOpen && !isLast { // this place may have it: no other may, and its next owner can tell
			isHeld, _, _ = in.ask(ctx, in.quick, e)
		}
		switch {
		case isHeld:
			return nil
		case isOpen:
			return in.undecided(e)
		case isLast || ctx.Err() != nil || e.taken != nil && e.taken.Kind != string(errs.Full):
			return cause
		}
		in.putPlace(e)
	}
}

// ask brings the take to its owner. Without a cause the owner has answered, and
// taken has its word.
func (in *Intake) ask(ctx context.Context, owners owners, e *request) (isHeld, isOpen bool, cause error) {
	e.taken = nil
	reply, isOpen, err := owners.Ask(ctx, wire.PlaceGroup+e.take.Place, &e.take, isOwner)
	e.wasOpen = e.wasOpen || isOpen
	if err != nil {
		return false, isOpen, errs.New(errs.NotOwner, "the message's place cannot be reached")
	}
	e.taken = reply.(*wire.Taken)
	if e.name != "" && e.taken.Kind == string(errs.Conflict) { // held since an earlier send, which had other bytes
		e.taken = &wire.Taken{Id: e.take.Id, State: string(place.Held), IsRepeat: true}
	}
	if e.taken.Kind == "" || !isOpen || e.taken.Kind == string(errs.Rejected) {
		return e.taken.Kind == "", false, nil
	}
	return false, true, errs.New(errs.Kind(e.taken.Kind), "%s", e.taken.Text) // but an earlier ask may be held yet
}

func (in *Intake) undecided(e *request) error {
	e.isOpen = true
	return errs.New(errs.Undecided, "whether the message is held is not known yet; ask for it by id")
}
