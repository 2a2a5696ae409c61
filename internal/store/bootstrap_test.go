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

// TestBallotsOfJoiners: a blank store that may only join takes no part in
// founding, also after a restart; one that may has its say.
func TestBallotsOfJoiners(t *testing.T) {
	cases := []struct {
		name           string
		first, second  bool // may it found, when its folder is begun and when it is opened again
		isOk, isJoiner bool
	}{
		{"one of a first start votes", true, true, true, false},
		{"one of a first start votes, though restarted", true, false, true, false},
		{"one that only joins does not", false, false, false, true},
		{"one that only joins does not, whatever it is told later", false, true, false, true},
	}
	Convey("Of blank stores,", t, func() {
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

// TestSettled: a store founds only once it has seen the same stores for a while.
// Stores that start together see each other one after another, and two that each
// saw only some could both found.
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
		Convey("it may found once that has lasted", func() {
			So(f.isMembershipStable(who("a", "b"), wait-1), ShouldBeFalse)
			So(f.isMembershipStable(who("a", "b"), wait), ShouldBeTrue)
		})
		Convey("a third one that comes has it wait anew", func() {
			So(f.isMembershipStable(who("a", "b", "c"), wait), ShouldBeFalse)
			So(f.isMembershipStable(who("a", "b", "c"), 2*wait-1), ShouldBeFalse)
			So(f.isMembershipStable(who("a", "b", "c"), 2*wait), ShouldBeTrue)
		})
	})
}
