package store

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"caperwheel/internal/daemon"
	"caperwheel/internal/settings"
	"caperwheel/internal/storage"
	"caperwheel/internal/timing"
	"caperwheel/internal/wire"
)

// TestBallotsOfJoiners checks that a blank store that may only join takes no part in bootstrapping a deployment, also
// after a restart, and that a store which may bootstrap one votes.
func TestBallotsOfJoiners(t *testing.T) {
	cases := []struct {
		name           string
		first, second  bool // whether it may bootstrap a deployment, when its folder is created and when it is opened again
		isOk, isJoiner bool
	}{
		{"a store that may bootstrap votes", true, true, true, false},
		{"a store that may bootstrap votes, also if restarted without that setting", true, false, true, false},
		{"a store that may only join does not vote", false, false, false, true},
		{"a store that may only join does not vote, also if restarted with that setting", false, true, false, true},
	}
	Convey("Among blank stores,", t, func() {
		for _, c := range cases {
			Convey(c.name, func() {
				folder, err := storage.OpenFolder(t.TempDir())
				So(err, ShouldBeNil)
				var f *bootstrapper
				for _, mayFound := range []bool{c.first, c.second} {
					d := &daemon.Daemon{Settings: settings.Settings{Name: "s", MayBootstrap: mayFound}}
					f, err = newBootstrapper(d, folder, func() {})
					So(err, ShouldBeNil)
				}
				look := f.onBallot(&wire.Ballot{Step: "look"})
				So(look.Ok, ShouldBeTrue)
				So(look.Number == promisedJoinOnly, ShouldEqual, c.isJoiner)
				for _, step := range []string{"promise", "accept", "found"} {
					ack := f.onBallot(&wire.Ballot{Step: step, Number: 1, Cluster: "c", Roster: []string{"s/1"}})
					So(ack.Ok, ShouldEqual, c.isOk)
				}
				So(f.snapshot().IsBootstrapped, ShouldEqual, c.isOk)
			})
		}
	})
}

// TestSettled checks that a store bootstraps a deployment only after it has seen the same stores for a while. Stores
// that start together discover each other one by one, and two stores with incomplete views could both bootstrap one.
func TestSettled(t *testing.T) {
	wait := timing.Default.Of(timing.AnswerTimeout)
	who := func(names ...string) (out []wire.Who) {
		for _, name := range names {
			out = append(out, wire.Who{Name: name, Boot: "1"})
		}
		return
	}
	Convey("Given a store that sees two others", t, func() {
		f := &bootstrapper{d: &daemon.Daemon{Bounds: timing.Default}}
		So(f.isMembershipStable(who("a", "b"), 0), ShouldBeFalse)
		Convey("it may bootstrap a deployment once that has lasted for the timeout", func() {
			So(f.isMembershipStable(who("a", "b"), wait-1), ShouldBeFalse)
			So(f.isMembershipStable(who("a", "b"), wait), ShouldBeTrue)
		})
		Convey("a third store that joins restarts the wait", func() {
			So(f.isMembershipStable(who("a", "b", "c"), wait), ShouldBeFalse)
			So(f.isMembershipStable(who("a", "b", "c"), 2*wait-1), ShouldBeFalse)
			So(f.isMembershipStable(who("a", "b", "c"), 2*wait), ShouldBeTrue)
		})
	})
}
