package intake

import (
	"context"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"caperwheel/internal/errs"
	"caperwheel/internal/web"
	"caperwheel/internal/wire"
)

// countingOwners answers that a message is held, and counts the lookups.
type countingOwners struct {
	fakeOwners
	count int
}

// CallOwner implements ownerClient.
func (c *countingOwners) CallOwner(context.Context, int64, any, func(any) (bool, string)) (any, error) {
	c.count++
	return &wire.Sight{Id: "1-x", State: "held"}, nil
}

// TestWaitsEndWithTheDaemon checks that a request waiting for a message's end is answered with the current state when
// the daemon stops, and does not wait until its connection is closed.
func TestWaitsEndWithTheDaemon(t *testing.T) {
	for _, c := range []struct {
		name      string
		isLeaving bool
	}{{"goes on while the daemon serves", false}, {"ends once it stops", true}} {
		Convey("A request that waits for a held message "+c.name, t, func() {
			in, owners := newTestIntake(&fakeOwners{}), &countingOwners{}
			in.owners = owners
			if c.isLeaving {
				in.d.StartDraining()
			}
			sight, err := in.await(context.Background(), "1-x", 300*time.Millisecond)
			So(err, ShouldBeNil)
			So(sight.State, ShouldEqual, "held")
			So(owners.count == 1, ShouldEqual, c.isLeaving)
		})
	}
}

// TestUndecidedAsItStops checks that a message that may be held is reported as undecided at once when the daemon is
// about to stop: settling it would take longer than the connection has.
func TestUndecidedAsItStops(t *testing.T) {
	for _, c := range []struct {
		name    string
		cause   error
		settles int
	}{{"its caller has gone", context.Canceled, 1}, {"the daemon stops", web.ErrStopping, 0}} {
		Convey("A message that may be held, when "+c.name, t, func() {
			owners := &fakeOwners{isUncertain: true}
			in := newTestIntake(owners)
			ctx, cancel := context.WithCancelCause(context.Background())
			cancel(c.cause)
			e := &request{ctx: ctx, compiled: in.configs.Current(), lane: in.configs.Current().Rules.Lanes["l"]}
			So(errs.Is(in.hold(e), errs.Undecided), ShouldBeTrue)
			So(e.mayBeHeld, ShouldBeTrue)
			So(owners.settles, ShouldEqual, c.settles)
		})
	}
}
