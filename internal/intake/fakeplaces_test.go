package intake_test

import (
	"context"

	"caperwheel/internal/errs"
	"caperwheel/internal/place"
	"caperwheel/internal/wire"
)

// fakePlaces is a set of places, each of which decides on requests with its own machine.
type fakePlaces struct {
	machines map[int64]*place.Machine
	level    int64  // feature level of places that are first used from now on
	loseNext bool   // the next message is lost on its way to its place
	onTake   func() // called once, before the next message reaches its place
	lost     int
}

// machine returns the machine of a place.
func (f *fakePlaces) machine(number int64) *place.Machine {
	if f.machines[number] == nil {
		f.machines[number] = place.New()
		f.machines[number].Apply(place.RaiseLevel(f.level))
	}
	return f.machines[number]
}

// CallOwnerTracked answers a message.
func (f *fakePlaces) CallOwnerTracked(_ context.Context, _ int64, request any, _ func(any) (bool, string)) (any, bool, error) {
	t := request.(*wire.Take)
	if f.loseNext {
		f.loseNext, f.lost = false, f.lost+1
		return nil, false, errs.New(errs.NotOwner, "no owner")
	}
	if f.onTake != nil {
		meanwhile := f.onTake
		f.onTake = nil
		meanwhile()
	}
	v := f.machine(t.Place).Apply(place.Command{Kind: place.CmdTake, Id: t.Id, Lane: t.Lane, Key: t.Key, Body: t.Body, Checksum: t.Checksum,
		Deadline: 60_000, Operation: t.Claim.Operation, Tenant: t.Claim.Tenant, Sender: t.Claim.Sender, Retain: 60_000})
	return &wire.Taken{Id: v.Id, State: string(v.State), Kind: string(v.Kind), IsRepeat: v.IsRepeat, IsRebindable: v.IsRebindable}, false, nil
}

// CallOwner answers a claim or settles a message.
func (f *fakePlaces) CallOwner(_ context.Context, _ int64, request any, _ func(any) (bool, string)) (any, error) {
	if t, isSettle := request.(*wire.Settle); isSettle {
		cause := map[bool]string{true: place.CauseOperation}[t.IsForOperation]
		v := f.machine(t.Place).Apply(place.Command{Kind: place.CmdTombstone, Id: t.Id, Cause: cause, Retain: 60_000})
		if v.State == place.Tombstone {
			v.Kind = errs.Rejected
		}
		return &wire.Taken{Id: t.Id, State: string(v.State), Kind: string(v.Kind), IsRebindable: v.IsRebindable}, nil
	}
	l := request.(*wire.Look)
	m, c := f.machine(l.Place), l.Claim
	known := m.FindClaim(place.Claim{Operation: c.Operation, Tenant: c.Tenant, Sender: c.Sender})
	switch {
	case m.Level() < place.LevelClaims:
		return &wire.Sight{Kind: string(errs.Unknown)}, nil // as an owner of an older build
	case known == nil && m.Level() >= place.LevelHomes && !c.IsPlaced:
		return &wire.Sight{IsHome: true}, nil
	}
	v := m.Apply(place.Command{Kind: place.CmdClaim, Id: l.Id, Operation: c.Operation, Tenant: c.Tenant, Sender: c.Sender, Replaces: c.Replaces, Retain: 60_000})
	return &wire.Sight{Kind: string(v.Kind), Bound: v.Id}, nil
}

// held returns how many messages the places hold that will run.
func (f *fakePlaces) held() (count int) {
	for _, m := range f.machines {
		for _, n := range m.Ready(0) {
			count += n
		}
	}
	return count
}
