package sim

import (
	"context"
	"fmt"
	"time"

	"caperwheel/internal/check"
	"caperwheel/internal/errs"
	"caperwheel/internal/ownerclient"
	"caperwheel/internal/requesthead"
	"caperwheel/internal/timing"
	"caperwheel/internal/wire"
)

// sendMessage sends one message to the owner of its place, as an intake does. The worker rejects one message in 40
// for good.
func (d *Deliveries) sendMessage(lane, key string) {
	d.serial++
	token := fmt.Sprintf("%s-%d", lane, d.serial)
	if d.Rand.IntN(40) == 0 {
		token += "-poison"
	}
	number := int64(d.serial % deliveryPlaces)
	if key != "" {
		number = int64(key[len(key)-1]) % deliveryPlaces
	}
	s := check.Sent{Token: token, Lane: lane, Key: key, BodySum: wire.Checksum([]byte(token)), SentAt: d.now, Outcome: check.Undecided, Id: fmt.Sprintf("%d-%s", number, token)}
	take := &wire.Take{Place: number, Id: s.Id, Lane: lane, Key: key, Body: []byte(token), Checksum: s.BodySum, Deadline: 90_000}
	if d.Rand.IntN(6) == 0 {
		s.Delay = time.Duration(d.Rand.IntN(5000)) * time.Millisecond
		take.Delay = s.Delay.Milliseconds()
	}
	d.submit(s, take)
}

// sendDelayed sends a message with the given delay and returns its id. The worker does not reject it.
func (d *Deliveries) sendDelayed(lane string, delay time.Duration) (id string) {
	d.serial++
	token := fmt.Sprintf("%s-%d", lane, d.serial)
	number := int64(d.serial % deliveryPlaces)
	s := check.Sent{Token: token, Lane: lane, BodySum: wire.Checksum([]byte(token)), SentAt: d.now, Outcome: check.Undecided, Id: fmt.Sprintf("%d-%s", number, token), Delay: delay}
	d.submit(s, &wire.Take{Place: number, Id: s.Id, Lane: lane, Body: []byte(token), Checksum: s.BodySum, Deadline: 900_000, Delay: delay.Milliseconds()})
	return s.Id
}

// submit has a caller send a message and records the answer. The message is randomly a forwarded HTTP request, and
// randomly has a notification URL.
func (d *Deliveries) submit(s check.Sent, take *wire.Take) {
	if d.Rand.IntN(2) == 0 { // a forwarded HTTP request
		take.RequestHead = requesthead.Head{Method: "POST", Target: "/" + s.Lane, Host: "sim.example"}.Encode()
	}
	if d.Rand.IntN(3) == 0 {
		take.NotifyUrl = "http://" + receiverAddr + "/ended"
	}
	d.Go(nil, func(ctx context.Context, _ *task) {
		s.Outcome = d.submitAndSettle(ctx, take, s.Lane)
		s.AnsweredAt = d.now
		d.H.AddSent(s)
	})
}

// submitAndSettle submits a message and, if its outcome is unknown, settles it. It returns what the caller is
// answered.
func (d *Deliveries) submitAndSettle(ctx context.Context, take *wire.Take, lane string) check.Outcome {
	got, hasPending := d.callOwner(ctx, take.Place, take)
	switch {
	case got != nil && got.Kind == "":
		return check.Taken
	case !hasPending || got != nil && got.Kind == string(errs.Rejected):
		return check.NotTaken
	}
	got, _ = d.callOwner(ctx, take.Place, &wire.Settle{Place: take.Place, Id: take.Id, Lane: lane})
	switch {
	case got != nil && got.Kind == "":
		return check.Taken
	case got != nil && got.Kind == string(errs.Rejected):
		return check.NotTaken
	}
	return check.Undecided
}

// callOwner sends a request to the owner of a place. hasPending reports that a copy of the request was sent whose
// effect is unknown.
func (d *Deliveries) callOwner(ctx context.Context, number int64, request any) (got *wire.Taken, hasPending bool) {
	bounded, cancel := timing.Within(ctx, d.bound(timing.SettleTimeout))
	defer cancel()
	r := &ownerclient.Client{Membership: d.control.membership, Bounds: timing.Default, SendFunc: func(ctx context.Context, addr string, request any) (any, error) {
		return d.callAndWait(ctx, callerName, nil, addr, request)
	}}
	reply, hasPending, err := r.CallOwnerTracked(bounded, wire.FirstPlaceGroup+number, request, func(reply any) (bool, string) {
		taken, isTaken := reply.(*wire.Taken)
		if !isTaken {
			return false, ""
		}
		return taken.Kind != string(errs.NotOwner) && taken.Kind != string(errs.Undecided), taken.Owner
	})
	if err != nil {
		return nil, hasPending
	}
	return reply.(*wire.Taken), hasPending
}
