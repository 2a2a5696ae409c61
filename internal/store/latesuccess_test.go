package store

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"caperwheel/internal/config"
	"caperwheel/internal/errs"
	"caperwheel/internal/place"
	"caperwheel/internal/wire"
)

// TestSuccessBesideARunThatNeverBegan guards against an accepted message becoming unknown soon after its end. The
// success of its first run, which was considered lost, arrived while a second run was open. The adapter refused the
// second run, and the end that followed had no retention. Found by seed 37 of the simulated deliveries with the guard
// of a duty removed.
func TestSuccessBesideARunThatNeverBegan(t *testing.T) {
	const retention = time.Hour
	newRunIs := map[string]func(b *harness, answer func(any, error)){
		"refused by its adapter": func(_ *harness, answer func(any, error)) { answer(&wire.RunAck{Kind: string(errs.Stale)}, nil) },
		"reported as never begun by its adapter": func(b *harness, answer func(any, error)) {
			answer(&wire.RunAck{}, nil)
			b.place.Outcome(&wire.Outcome{Id: "0-x", Kind: string(errs.NotOwner), Proof: wire.Proof{Attempt: 2}}, func(any) {})
		},
		"considered lost": func(b *harness, answer func(any, error)) {
			answer(&wire.RunAck{}, nil)
			b.place.proposeRequeue(b.place.machine.Find("0-x"), b.rules.Lanes["l"])
		},
		"failed at its worker": func(b *harness, answer func(any, error)) {
			answer(&wire.RunAck{}, nil)
			b.place.Outcome(&wire.Outcome{Id: "0-x", MayHaveStarted: true, Kind: string(errs.Unhealthy), Proof: wire.Proof{Attempt: 2}}, func(any) {})
		},
	}
	Convey("A message whose first run has succeeded while a second one is open ends and its end is retained, if the second run is", t, func() {
		for name, end := range newRunIs {
			Convey(name, func() {
				b, e := startedHarness("l")
				b.rules.Lanes["l"] = config.Lane{Name: "l", MaxAttempts: 9, AllowsRerun: true, Pools: []string{"p"}, Retention: retention}
				b.place.proposeRequeue(e, b.rules.Lanes["l"])
				b.commit(true)
				b.place.Start("l", SlotGrant{Pool: "p", Worker: "w", Holder: wire.Who{Name: "a", Boot: "1"}, Until: 2 * time.Minute})
				b.commit(true)
				b.place.Outcome(&wire.Outcome{Id: "0-x", Proof: wire.Proof{Attempt: 1, Worker: "w"}}, func(any) {})
				b.commit(true)
				So(e.State, ShouldEqual, place.Started)
				end(b, b.answers[len(b.answers)-1])
				b.commit(true)
				So(e.State, ShouldEqual, place.Ended)
				So(e.Proof.Attempt, ShouldEqual, 1)
				So(e.ForgetAt-b.place.machine.Clock(), ShouldEqual, retention.Milliseconds())
			})
		}
	})
}
