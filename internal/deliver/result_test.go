package deliver

import (
	"context"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"caperwheel/internal/config"
	"caperwheel/internal/daemon"
	"caperwheel/internal/feed"
	"caperwheel/internal/ownerclient"
	"caperwheel/internal/session"
	"caperwheel/internal/timing"
	"caperwheel/internal/wire"
)

// TestResultIsToldUntilAcknowledged checks that an adapter reports a result until it is acknowledged. An owner also
// recovers a run that its adapter has forgotten, but at the price of a second run.
func TestResultIsToldUntilAcknowledged(t *testing.T) {
	const unanswered = 4 // attempts that get no answer within the settle time-out
	Convey("A result whose owner is unreachable for longer than the settle time-out", t, func() {
		view := feed.NewView(0)
		d := &daemon.Daemon{Bounds: timing.Bounds{ConfigApply: 40 * time.Millisecond}, View: view, Who: wire.Who{Name: "a", Boot: "1"},
			Membership: session.NewMembership(), Started: time.Now()}
		d.Settings.MaxInFlight = 9
		store := wire.Member{Who: wire.Who{Name: "s", Kind: "store", Addr: "s"}}
		d.Membership.Update("x", []wire.Member{store})
		ports := daemonEnvironment(context.Background(), d)
		ports.Post = func(_ *wire.Link, _ string, _ any, done func(any, error)) error {
			if done != nil {
				done(nil, context.Canceled)
			}
			return nil
		}
		a := NewWithEnvironment(d, &config.Cache{View: view}, DefaultCodec, ports)
		results := []*wire.Outcome{}
		a.SetOwnerClient(&ownerclient.Client{Membership: d.Membership, Bounds: d.Bounds, SendFunc: func(ctx context.Context, _ string, ask any) (any, error) {
			outcome, isOutcome := ask.(*wire.Outcome)
			if !isOutcome {
				return nil, context.Canceled
			}
			if results = append(results, outcome); len(results) <= unanswered {
				<-ctx.Done()
				return nil, ctx.Err()
			}
			return &wire.OutcomeAck{}, nil
		}})
		r := &run{Run: wire.Run{Place: 3, Id: "3-x", Lane: "l", Attempt: 1}}
		So(a.runs.Admit(&r.Run, 0), ShouldBeNil)
		a.reportToOwner(context.Background(), r, a.newOutcome(r))
		Convey("is reported until an owner has acknowledged it, and stays open until then", func() {
			So(results, ShouldHaveLength, unanswered+1)
			So(results[unanswered].Id, ShouldEqual, "3-x")
			So(a.OpenRunCount(), ShouldEqual, 0)
		})
	})
}
