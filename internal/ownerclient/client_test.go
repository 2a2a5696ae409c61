package ownerclient

import (
	"context"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"caperwheel/internal/errs"
	"caperwheel/internal/session"
	"caperwheel/internal/timing"
	"caperwheel/internal/transport"
	"caperwheel/internal/wire"
)

// TestAsk checks what a caller learns about the effect of its request. It guards against an owner that was replaced
// during a request and counted as one that had never received it: callers were told "not taken" of messages that the
// next owner ran.
func TestAsk(t *testing.T) {
	taken := func(kind errs.Kind) any { return &wire.Taken{Kind: string(kind)} }
	lost, unsent := errs.New(errs.Lost, "session"), error(&transport.UnsentError{})
	cases := []struct {
		name        string
		answers     []any // of one store after another; the last one repeats
		kind        errs.Kind
		isUncertain bool
		isReply     bool
	}{
		{"an owner's answer", []any{taken("")}, "", false, true},
		{"the answer of the second store", []any{taken(errs.NotOwner), taken("")}, "", false, true},
		{"a rejection by an owner", []any{taken(errs.Full)}, "", false, true},
		{"a rejection after a lost request", []any{lost, taken(errs.Full)}, "", true, true},
		{"a rejection after an owner that was replaced", []any{taken(errs.Undecided), taken(errs.Full)}, "", true, true},
		{"a rejection after a request that was never sent", []any{unsent, taken(errs.Full)}, "", false, true},
		{"no owner", []any{taken(errs.NotOwner)}, errs.NotOwner, false, false},
		{"no owner after a lost request", []any{lost, taken(errs.NotOwner)}, errs.Undecided, true, false},
		{"no owner after one that was replaced", []any{taken(errs.Undecided), taken(errs.NotOwner)}, errs.Undecided, true, false},
		{"a request that could not be sent", []any{unsent}, errs.NotOwner, false, false},
	}
	Convey("A request that encounters", t, func() {
		for _, c := range cases {
			Convey(c.name, func() {
				membership, turn := session.NewMembership(), 0
				membership.Update("x", []wire.Member{{Who: wire.Who{Name: "s1", Kind: "store"}}, {Who: wire.Who{Name: "s2", Kind: "store"}}})
				ctx, cancel := context.WithCancel(context.Background())
				r := &Client{Membership: membership, Bounds: timing.Bounds{ConfigApply: time.Millisecond}, SendFunc: func(context.Context, string, any) (any, error) {
					answer := c.answers[min(turn, len(c.answers)-1)]
					if turn++; turn > 5 {
						cancel()
					}
					if err, isErr := answer.(error); isErr {
						return nil, err
					}
					return answer, nil
				}}
				reply, isUncertain, err := r.CallOwnerTracked(ctx, 1, &wire.Take{}, func(reply any) (bool, string) {
					kind := reply.(*wire.Taken).Kind
					return kind != string(errs.NotOwner) && kind != string(errs.Undecided), ""
				})
				So(reply != nil, ShouldEqual, c.isReply)
				So(isUncertain, ShouldEqual, c.isUncertain)
				So(err == nil, ShouldEqual, c.kind == "")
				if err != nil {
					So(errs.KindOf(err), ShouldEqual, c.kind)
				}
			})
		}
	})
}
