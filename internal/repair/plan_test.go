package repair

import (
	"slices"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"caperwheel/internal/timing"
)

// TestSeats is the table of who should hold a group once some of its holders
// have been away for a time. A store that was replaced by another machine once
// kept its seat for ever, so that the next loss took the group's majority.
func TestSeats(t *testing.T) {
	store := func(name, zone string) Store { return Store{Name: name, Zone: zone} }
	a, b, c := store("a", "x"), store("b", "y"), store("c", "z")
	replace, abandon, outage := timing.Default.Of(timing.ReplaceTimeout), timing.Default.Of(timing.ReassignTimeout), timing.Default.Of(timing.ZoneOutageTimeout)
	trio := []string{"a", "b", "c"}
	cases := []struct {
		name    string
		holders []string
		first   []Store // members at first
		later   []Store // members from then on
		after   time.Duration
		silence time.Duration // of any holder that is away, as the group's owner has it
		under   int
		want    []string
	}{
		{"a successor in the zone takes a lost store's seat", trio, []Store{a, b, c}, []Store{b, c, store("a2", "x")}, replace, replace, 0, []string{"a2", "b", "c"}},
		{"not before the lost store has been away for long", trio, []Store{a, b, c}, []Store{b, c, store("a2", "x")}, replace - 1, replace, 0, trio},
		{"not while the owner still hears of it", trio, []Store{a, b, c}, []Store{b, c, store("a2", "x")}, replace, replace - 1, 0, trio},
		{"a store that came later may be its successor, whatever its zone", trio, []Store{a, b, c}, []Store{b, c, store("d", "y")}, replace, replace, 0, []string{"b", "c", "d"}},
		{"a spare that was there long before takes no seat soon", trio, []Store{a, b, c, store("d", "x")}, []Store{b, c, store("d", "x")}, replace, replace, 0, trio},
		{"but after a while", trio, []Store{a, b, c, store("d", "x")}, []Store{b, c, store("d", "x")}, abandon, abandon, 0, []string{"b", "c", "d"}},
		{"a spare of another zone takes no seat soon", trio, []Store{a, b, c, store("d", "y")}, []Store{b, c, store("d", "y")}, replace, replace, 0, trio},
		{"nor while its whole zone is away", trio, []Store{a, b, c, store("d", "y")}, []Store{b, c, store("d", "y")}, outage - 1, outage, 0, trio},
		{"but in the end", trio, []Store{a, b, c, store("d", "y")}, []Store{b, c, store("d", "y")}, outage, outage, 0, []string{"b", "c", "d"}},
		{"and sooner where its zone is here", []string{"a", "b", "e"}, []Store{a, b, store("e", "x"), store("d", "y")}, []Store{b, store("e", "x"), store("d", "y")}, abandon, abandon, 0, []string{"b", "d", "e"}},
		{"without a spare a lost store keeps its seat", trio, []Store{a, b, c}, []Store{b, c}, abandon, abandon, 0, trio},
		{"of two lost ones one gets a successor", []string{"a", "b", "c"}, []Store{a, b, c}, []Store{c, store("a2", "x")}, replace, replace, 0, []string{"a2", "b", "c"}},
		{"a lost store that was never seen here has any successor", trio, []Store{b, c, store("d", "y")}, []Store{b, c, store("d", "y")}, replace, replace, 0, []string{"b", "c", "d"}},
		{"a successor that holds the group already frees the seat for another", []string{"a", "b", "a2"}, []Store{a, b, store("d", "y")}, []Store{b, store("a2", "x"), store("d", "y")}, replace, replace, 0, []string{"a2", "b", "d"}},
		{"while many groups change, none begins to", trio, []Store{a, b, c}, []Store{b, c, store("a2", "x")}, replace, replace, maxConcurrentRepairs, trio},
		{"an over-full roster loses the store that is away", []string{"a", "b", "c", "d"}, []Store{a, b, c, store("d", "x")}, []Store{b, c, store("d", "x")}, 0, 0, 0, []string{"b", "c", "d"}},
	}
	Convey("A group should stand on", t, func() {
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

// TestPresence: whoever comes back is no longer away, and being away begins anew.
func TestPresence(t *testing.T) {
	Convey("Given a store that was away and came back", t, func() {
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

// TestPlannedSuccessor: a machine that is to be replaced is stopped only after its
// successor has come.
func TestPlannedSuccessor(t *testing.T) {
	Convey("Given a store that came shortly before another one went", t, func() {
		p := NewPresence()
		a, b := Store{Name: "a", Zone: "x"}, Store{Name: "b", Zone: "x"}
		p.Update([]Store{a}, 0)
		p.Update([]Store{a, b}, time.Minute)
		p.Update([]Store{b}, time.Minute+2*time.Second)
		So(p.HasSuccessor(a, []Store{b}, 2*time.Second), ShouldBeTrue)
		So(p.HasSuccessor(a, []Store{b}, 2*time.Second-1), ShouldBeFalse)
	})
}
