package repair

import (
	"context"
	"time"

	"caperwheel/internal/errs"
	"caperwheel/internal/ownerclient"
	"caperwheel/internal/timing"
	"caperwheel/internal/wire"
)

// Steps of a wire.Outcome that is meant for a ResultBuffer. An outcome without a step is meant for the owner of the
// place.
const (
	StepLeave  = "leave"  // keep the result, and deliver it unless it is forgotten in time
	StepForget = "forget" // forget the result, as it is durable
	StepHas    = "has"    // report whether the result of the run is kept
)

// Handle carries out the step of an outcome and returns the answer. It returns nil for an outcome that is meant for an
// owner.
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

// DeliverResults delivers the due results to the owners of their places until ctx is cancelled.
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

// ParseAck reports whether a reply is the acknowledgement of an owner. If it is from a store that is not the owner,
// hint names the owner that this store knows of.
func ParseAck(reply any) (isOwner bool, hint string) {
	ack, isAck := reply.(*wire.OutcomeAck)
	if !isAck {
		return false, ""
	}
	return ack.Kind == "", ack.Owner
}
