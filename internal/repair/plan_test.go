package repair

import (
	"slices"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"caperwheel/internal/timing"
)

// TestSeats checks which stores should hold a group once some of its holders have been absent for a time. It guards
// against keeping a store that another machine has replaced as a holder for ever: the next loss then cost the group its
// majority.
func TestSeats(t *testing.T) {
	store := func(name, zone string) Store { return Store{Name: name, Zone: zone} }
	a, b, c := store("a", "x"), store("b", "y"), store("c", "z")
	replace, reassign, outage := timing.Default.Of(timing.ReplaceTimeout), timing.Default.Of(timing.ReassignTimeout), timing.Default.Of(timing.ZoneOutageTimeout)
	trio := []string{"a", "b", "c"}
	cases := []struct {
		name    string
		holders []string
		first   []Store // members at the start
		later   []Store // members after that
		after   time.Duration
		silence time.Duration // of any absent holder, as seen by the owner of the group
		under   int
		want    []string
	}{
		{"a successor in the zone replaces a lost store", trio, []Store{a, b, c}, []Store{b, c, store("a2", "x")}, replace, replace, 0, []string{"a2", "b", "c"}},
		{"not before the lost store has been absent for long enough", trio, []Store{a, b, c}, []Store{b, c, store("a2", "x")}, replace - 1, replace, 0, trio},
		{"not while the owner still hears from it", trio, []Store{a, b, c}, []Store{b, c, store("a2", "x")}, replace, replace - 1, 0, trio},
		{"a store that became a member later may be its successor in any zone", trio, []Store{a, b, c}, []Store{b, c, store("d", "y")}, replace, replace, 0, []string{"b", "c", "d"}},
		{"a spare that was a member long before does not replace it soon", trio, []Store{a, b, c, store("d", "x")}, []Store{b, c, store("d", "x")}, replace, replace, 0, trio},
		{"… but does after ReassignTimeout", trio, []Store{a, b, c, store("d", "x")}, []Store{b, c, store("d", "x")}, reassign, reassign, 0, []string{"b", "c", "d"}},
		{"a spare of another zone does not replace it soon", trio, []Store{a, b, c, store("d", "y")}, []Store{b, c, store("d", "y")}, replace, replace, 0, trio},
		{"… nor while its whole zone is absent", trio, []Store{a, b, c, store("d", "y")}, []Store{b, c, store("d", "y")}, outage - 1, outage, 0, trio},
		{"… but does after ZoneOutageTimeout", trio, []Store{a, b, c, store("d", "y")}, []Store{b, c, store("d", "y")}, outage, outage, 0, []string{"b", "c", "d"}},
		{"… and after ReassignTimeout if its zone is present", []string{"a", "b", "e"}, []Store{a, b, store("e", "x"), store("d", "y")}, []Store{b, store("e", "x"), store("d", "y")}, reassign, reassign, 0, []string{"b", "d", "e"}},
		{"without a spare a lost store stays a holder", trio, []Store{a, b, c}, []Store{b, c}, reassign, reassign, 0, trio},
		{"of two lost stores one is replaced by the only successor", []string{"a", "b", "c"}, []Store{a, b, c}, []Store{c, store("a2", "x")}, replace, replace, 0, []string{"a2", "b", "c"}},
		{"any store may replace a lost store that was never seen here", trio, []Store{b, c, store("d", "y")}, []Store{b, c, store("d", "y")}, replace, replace, 0, []string{"b", "c", "d"}},
		{"a successor that holds the group already lets another store replace it", []string{"a", "b", "a2"}, []Store{a, b, store("d", "y")}, []Store{b, store("a2", "x"), store("d", "y")}, replace, replace, 0, []string{"a2", "b", "d"}},
		{"no change starts while the maximum number of groups are changing", trio, []Store{a, b, c}, []Store{b, c, store("a2", "x")}, replace, replace, maxConcurrentRepairs, trio},
		{"of too many holders the absent one is removed", []string{"a", "b", "c", "d"}, []Store{a, b, c, store("d", "x")}, []Store{b, c, store("d", "x")}, 0, 0, 0, []string{"b", "c", "d"}},
	}
	Convey("Holders of a group:", t, func() {
		for _, k := range cases {
			Convey(k.name, func() {
				const gone = time.Hour // when the later members are first seen
				p := NewPlanner(timing.Default, 3)
				p.UpdateMembers(k.first, 0)
				p.UpdateMembers(k.later, gone)
				g := Group{Id: 1, Holders: k.holders, Silence: func(string, time.Duration) time.Duration { return k.silence }}
				p.HoldersFor(g, nil, k.under, gone)
				got := p.HoldersFor(g, nil, k.under, gone+k.after)
				slices.Sort(got)
				So(got, ShouldResemble, k.want)
			})
		}
	})
}

// TestPresence checks that the absence of a store ends when it comes back, and that its next absence is counted from
// then on.
func TestPresence(t *testing.T) {
	Convey("Given a store that was absent, came back and is absent again", t, func() {
		p := NewPresence()
		s := []Store{{Name: "a", Zone: "x"}}
		p.Update(s, 0)
		p.Update(nil, time.Second)
		p.Update(s, 2*time.Second)
		p.Update(nil, 5*time.Second)
		absent, span := p.Absent("a", 6*time.Second)
		So(span, ShouldEqual, time.Second)
		So(absent, ShouldResemble, Store{Name: "a", Zone: "x", IsAbsent: true})
	})
}

// TestPlannedSuccessor covers a planned replacement, in which a machine is stopped only after its successor has
// started.
func TestPlannedSuccessor(t *testing.T) {
	Convey("Given a store that became a member shortly before another one was gone", t, func() {
		p := NewPresence()
		a, b := Store{Name: "a", Zone: "x"}, Store{Name: "b", Zone: "x"}
		p.Update([]Store{a}, 0)
		p.Update([]Store{a, b}, time.Minute)
		p.Update([]Store{b}, time.Minute+2*time.Second)
		So(p.HasSuccessor(a, []Store{b}, 2*time.Second), ShouldBeTrue)
		So(p.HasSuccessor(a, []Store{b}, 2*time.Second-1), ShouldBeFalse)
	})
}
