package intake

import (
	"context"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"caperwheel/internal/errs"
	"caperwheel/internal/wire"
)

// scriptedOwners answers each request by the next reply: a kind of error, "held", "" for no owner, or "open" for a
// request whose outcome is unknown.
type scriptedOwners struct {
	replies []string
	places  []int64
}

// CallOwnerTracked implements ownerClient.
func (s *scriptedOwners) CallOwnerTracked(_ context.Context, _ int64, message any, _ func(any) (bool, string)) (any, bool, error) {
	t := message.(*wire.Take)
	s.places = append(s.places, t.Place)
	reply := "" // no owner after the last reply
	if len(s.replies) > 0 {
		reply, s.replies = s.replies[0], s.replies[1:]
	}
	switch reply {
	case "":
		return nil, false, errs.New(errs.NotOwner, "no owner")
	case "open":
		return nil, true, errs.New(errs.Undecided, "no answer")
	case "held":
		return &wire.Taken{Id: t.Id, State: "held"}, false, nil
	}
	return &wire.Taken{Id: t.Id, Kind: reply}, false, nil
}

// CallOwner implements ownerClient.
func (s *scriptedOwners) CallOwner(context.Context, int64, any, func(any) (bool, string)) (any, error) {
	return nil, errs.New(errs.Undecided, "not asked in these cases")
}

// TestHoldQuickly guards against callers who wait until their deadline for a place without an owner, although other
// places would have accepted their message.
func TestHoldQuickly(t *testing.T) {
	cases := []struct {
		name        string
		key         string
		replies     []string
		kind        errs.Kind // of the answer; empty if the message is held
		isUncertain bool
		attempts    int
	}{
		{"the first place holds it", "", []string{"held"}, "", false, 1},
		{"a place without an owner is skipped", "", []string{"", "held"}, "", false, 2},
		{"a full place is skipped", "", []string{"full", "held"}, "", false, 2},
		{"no place has an owner: the message will never run", "", nil, errs.NotOwner, false, maxPlacesTried},
		{"a message with an ordering key has only one place", "k", []string{"", "held"}, errs.NotOwner, false, 1},
		{"a request with an unknown outcome is repeated at the same place, and no other", "", []string{"open", "held"}, "", false, 2},
		{"one whose outcome stays unknown is undecided", "", []string{"open", "open"}, errs.Undecided, true, 2},
		{"an unknown lane is final", "", []string{"unknown"}, errs.Unknown, false, 1},
	}
	Convey("For a caller with a deadline,", t, func() {
		for _, c := range cases {
			Convey(c.name, func() {
				s := &scriptedOwners{replies: c.replies}
				in := newTestIntake(&fakeOwners{})
				in.quickOwners = s
				e := &request{ctx: context.Background(), deadline: time.Minute, take: wire.Take{Lane: "l", Key: c.key}}
				in.assignPlace(e)
				err := in.hold(e)
				kind := errs.Kind("")
				if err != nil {
					kind = errs.KindOf(err)
				} else {
					kind = errs.Kind(e.taken.Kind)
				}
				So(kind, ShouldEqual, c.kind)
				So(e.mayBeHeld, ShouldEqual, c.isUncertain)
				So(len(s.places), ShouldEqual, c.attempts)
				if c.isUncertain || len(c.replies) > 0 && c.replies[0] == "open" {
					So(s.places[1], ShouldEqual, s.places[0])
				}
			})
		}
	})
}
