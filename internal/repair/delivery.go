package repair

import (
	"context"
	"time"

	"caperwheel/internal/errs"
	"caperwheel/internal/ownerclient"
	"caperwheel/internal/timing"
	"caperwheel/internal/wire"
)

// Steps of an outcome that is not simply meant for the owner.
const (
	StepLeave  = "leave"  // keep it, and hand it over should we not come back
	StepForget = "forget" // it is durable: drop it
	StepHas    = "has"    // is the run's result kept?
)

// Handle takes an outcome that is to be kept, forgotten or asked for; nil when
// it is meant for an owner.
func (k *ResultBuffer) Handle(o *wire.Outcome, now time.Duration) *wire.OutcomeAck {
	ack := &wire.OutcomeAck{}
	switch o.Step {
	case StepHas:
		if !k.Has(o.Id, o.Proof.Attempt) {
			ack.Kind = string(errs.Unknown)
		}
	case StepLeave:
		k.Add(o, now)
	case StepForget:
		k.Forget(o.Id, o.Proof.Attempt)
	default:
		return nil
	}
	return ack
}

// DeliverResults delivers kept results to their owners until ctx ends.
func (k *ResultBuffer) DeliverResults(ctx context.Context, r *ownerclient.Client, group func(place int64) int64, now func() time.Duration) {
	timing.Every(ctx, r.Bounds.Of(timing.Resend), func() {
		for _, o := range k.Due(now()) {
			go func() {
				ctx, cancel := context.WithTimeout(ctx, r.Bounds.ConfigApply)
				defer cancel()
				_, err := r.CallOwner(ctx, group(o.Place), o, ParseAck)
				if err == nil {
					k.Forget(o.Id, o.Proof.Attempt)
				}
			}()
		}
	})
}

// ParseAck tells an owner's acknowledgement from the word of a store that is not.
func ParseAck(reply any) (isOwner bool, hint string) {
	ack, isAck := reply.(*wire.OutcomeAck)
	if !isAck {
		return false, ""
	}
	return ack.Kind == "", ack.Owner
}
