package intake

import (
	"context"
	"errors"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"caperwheel/internal/config"
	"caperwheel/internal/errs"
	"caperwheel/internal/wire"
)

// countingLimiter counts permits by how they ended.
type countingLimiter struct {
	counted, returned int
	refusal           error
}

// Admit implements Limiter.
func (t *countingLimiter) Admit(context.Context, config.Tenant) (Permit, error) {
	if t.refusal != nil {
		return nil, t.refusal
	}
	return t, nil
}

// End implements Permit.
func (t *countingLimiter) End(isCounted bool) {
	if isCounted {
		t.counted++
		return
	}
	t.returned++
}

// TestWhatCountsAgainstALimit checks which messages consume a token.
func TestWhatCountsAgainstALimit(t *testing.T) {
	refused := errs.New(errs.NotOwner, "no owner")
	cases := []struct {
		name    string
		request request
		err     error
		counts  bool
	}{
		{"held", request{taken: &wire.Taken{}}, nil, true},
		{"held before by an earlier request", request{taken: &wire.Taken{IsRepeat: true}}, nil, false},
		{"held before, perhaps by an attempt of this request", request{taken: &wire.Taken{IsRepeat: true}, mayBeHeldEarlier: true}, nil, true},
		{"refused by its place's owner", request{taken: &wire.Taken{Kind: string(errs.Full)}}, nil, false},
		{"sent to no place", request{}, refused, false},
		{"sent to no place, with an idempotency key", request{mayBeHeld: true}, refused, false},
		{"with an unknown outcome", request{mayBeHeld: true, mayBeHeldEarlier: true}, errs.New(errs.Undecided, "not known yet"), true},
	}
	Convey("A message", t, func() {
		for _, c := range cases {
			Convey(c.name, func() {
				So(c.request.countsAgainstLimit(c.err), ShouldEqual, c.counts)
			})
		}
	})
	Convey("A message over its tenant's limit is sent to no place", t, func() {
		in, takes := NewTestIntake(TestSetup{Take: &wire.Taken{}, MaxInFlight: 9})
		limiter := &countingLimiter{refusal: errs.New(errs.OverQuota, "used up")}
		in.SetLimiter(limiter)
		err := in.admit(&request{ctx: context.Background(), compiled: in.configs.Current()})
		So(errors.Is(err, limiter.refusal), ShouldBeTrue)
		So(takes(), ShouldBeEmpty)
		So([]int{limiter.counted, limiter.returned}, ShouldResemble, []int{0, 0})
	})
	Convey("A permit is ended exactly once", t, func() {
		in, takes := NewTestIntake(TestSetup{Take: &wire.Taken{State: "held"}, MaxInFlight: 9})
		limiter := &countingLimiter{}
		in.SetLimiter(limiter)
		compiled := in.configs.Current()
		e := &request{ctx: context.Background(), compiled: compiled, lane: compiled.Rules.Lanes["l"], take: wire.Take{Lane: "l", Body: []byte{}}}
		So(in.admit(e), ShouldBeNil)
		So(len(takes()), ShouldEqual, 1)
		So([]int{limiter.counted, limiter.returned}, ShouldResemble, []int{1, 0})
	})
}
