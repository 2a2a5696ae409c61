package duty

import (
	"fmt"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"caperwheel/internal/config"
	"caperwheel/internal/wire"
)

func compiled(workers map[string]config.Worker, duties map[string]config.AssignedDuty, emptied ...string) *config.Compiled {
	out := &config.Compiled{Workers: map[string]config.Table[config.Worker]{"p": config.TableOf(workers)},
		Duties: map[string]config.Table[config.AssignedDuty]{"p": config.TableOf(duties)}, DrainedZones: map[string]bool{}}
	for _, zone := range emptied {
		out.DrainedZones[zone] = true
	}
	return out
}

func held(holder, boot string) config.AssignedDuty {
	return config.AssignedDuty{Duty: config.Duty{Holder: holder, Boot: boot}, Term: 7}
}

// TestPlan is the table of when a duty changes hands.
func TestPlan(t *testing.T) {
	adapters := []wire.Who{{Name: "a1", Boot: "1", Zone: "a"}, {Name: "a2", Boot: "1", Zone: "a"}, {Name: "b1", Boot: "1", Zone: "b"},
		{Name: "l1", Boot: "1", Zone: "a"}}
	inA := map[string]config.Worker{"w": {Name: "w", Zone: "a"}}
	known := func(string) (int64, bool) { return 7, true }
	never := func(string) (int64, bool) { return 0, false }
	cases := []struct {
		name     string
		compiled *config.Compiled
		revision func(string) (int64, bool)
		holder   string // "" for no change, "gone" for removal
		before   string
	}{
		{"a worker that nobody ever held goes to its cell, without a fence", compiled(inA, nil), never, "a", ""},
		{"a worker that somebody held once goes with a fence", compiled(inA, nil), func(string) (int64, bool) { return 0, true }, "a", "an earlier holder"},
		{"a holder that lives keeps its duty", compiled(inA, map[string]config.AssignedDuty{"w": held("a1", "1")}), known, "", ""},
		{"a holder's next life is not the holder", compiled(inA, map[string]config.AssignedDuty{"w": held("a1", "0")}), known, "a", "0"},
		{"a holder that is gone loses it", compiled(inA, map[string]config.AssignedDuty{"w": held("x", "1")}), known, "a", "1"},
		{"a holder of another cell gives way to the worker's own", compiled(inA, map[string]config.AssignedDuty{"w": held("b1", "1")}), known, "a", "1"},
		{"an emptied cell's holder loses it", compiled(inA, map[string]config.AssignedDuty{"w": held("a1", "1")}, "a"), known, "b", "1"},
		{"a worker of a cell without adapters keeps any holder", compiled(map[string]config.Worker{"w": {Name: "w", Zone: "z"}},
			map[string]config.AssignedDuty{"w": held("b1", "1")}), known, "", ""},
		{"a holder that leaves gives way at once", compiled(inA, map[string]config.AssignedDuty{"w": held("l1", "1")}), known, "a", "1"},
		{"a worker that is no longer listed has its duty removed", compiled(nil, map[string]config.AssignedDuty{"w": held("a1", "1")}), known, "gone", ""},
	}
	Convey("In the plan of duties", t, func() {
		for _, c := range cases {
			Convey(c.name, func() {
				plan := Plan("p", c.compiled, Adapters{Members: adapters, Leaving: map[string]bool{"l1": true}}, c.revision)
				if c.holder == "" {
					So(plan, ShouldBeEmpty)
					return
				}
				So(len(plan), ShouldEqual, 1)
				if c.holder == "gone" {
					So(plan[0].IsRemoval, ShouldBeTrue)
					So(plan[0].IfRevision, ShouldEqual, 7)
					return
				}
				So(plan[0].Next.Holder[:1], ShouldEqual, c.holder)
				So(plan[0].Next.PreviousBoot, ShouldEqual, c.before)
			})
		}
		Convey("many workers are spread evenly", func() {
			workers := map[string]config.Worker{}
			for i := range 30 {
				workers[string(rune('A'+i))] = config.Worker{Zone: "a"}
			}
			count := map[string]int{}
			for _, change := range Plan("p", compiled(workers, nil), Adapters{Members: adapters[:3]}, never) {
				count[change.Next.Holder]++
			}
			So(count, ShouldResemble, map[string]int{"a1": 15, "a2": 15})
		})
	})
	Convey("Of the daemons left, the same one has the first claim as before", t, func() {
		names := []string{"m1", "m2", "m3"}
		moved := 0
		for i := range 100 {
			key := string(rune(i))
			if first := HighestRanked(key, names); first != "m3" && HighestRanked(key, names[:2]) != first {
				moved++
			}
		}
		So(moved, ShouldEqual, 0)
	})
}

// TestReborn: after a loss of power every duty once waited for all sessions, and
// endpoints for a fence besides, though one name has but one process.
func TestReborn(t *testing.T) {
	adapters := []wire.Who{{Name: "a1", Boot: "2", Zone: "a"}, {Name: "a2", Boot: "1", Zone: "a"}}
	workers := map[string]config.Worker{"w": {Name: "w", Zone: "a"}}
	known := func(string) (int64, bool) { return 7, true }
	cases := []struct {
		name, holder, boot string
		isLeaving          bool
		next               string
		isReborn, isFree   bool
	}{
		{"a holder's new life keeps its duty, unfenced", "a1", "1", false, "a1", true, true},
		{"a holder that is gone loses it under a fence", "x", "1", false, "a", false, false},
		{"a holder that leaves loses it unfenced: it begins nothing more", "a2", "1", true, "a1", false, true},
	}
	Convey("In the plan,", t, func() {
		for _, c := range cases {
			Convey(c.name, func() {
				leaving := map[string]bool{"a2": c.isLeaving}
				plan := Plan("p", compiled(workers, map[string]config.AssignedDuty{"w": held(c.holder, c.boot)}), Adapters{Members: adapters, Leaving: leaving}, known)
				So(len(plan), ShouldEqual, 1)
				So(plan[0].Next.Holder, ShouldStartWith, c.next)
				So([]bool{plan[0].IsHolderRestarted, plan[0].Next.IsReleased}, ShouldResemble, []bool{c.isReborn, c.isFree})
			})
		}
	})
}

// TestSteady: two managers that saw different adapters once pulled a duty to
// and fro, and its fence kept the endpoint from being served at all.
func TestSteady(t *testing.T) {
	cases := []struct {
		name    string
		isGuess bool
		term    int64
		at      time.Duration
		isKept  bool
	}{
		{"a guess about a duty that has been steady", true, 1, 20 * time.Second, true},
		{"not a guess about one that has just changed hands", true, 2, 21 * time.Second, false},
		{"not a guess a little later either", true, 2, 26 * time.Second, false},
		{"a guess once it has been steady again", true, 2, 27 * time.Second, true},
		{"what is known for sure, at any time", false, 3, 27 * time.Second, true},
	}
	Convey("That a holder is gone is known for sure by a planner that saw it here since it moved the duty itself", t, func() {
		const second = time.Second
		guess := func(s *HoldDown, term int64, boot string, at time.Duration) bool {
			kept := s.Filter([]Change{{Pool: "p", Worker: "w", IfRevision: term, IsHolderSuspected: true, Next: config.Duty{PreviousBoot: boot}}}, at)
			for _, change := range kept {
				s.RecordMove(change, at)
			}
			return len(kept) == 1
		}
		a, b := wire.Who{Name: "a", Boot: "a.1"}, wire.Who{Name: "b", Boot: "b.1"}
		s := &HoldDown{Period: 6 * second}
		s.ObserveMembers([]wire.Who{a, b}, 10*second)
		So(guess(s, 1, a.Boot, 13*second), ShouldBeTrue) // to b, which it holds for a member
		s.ObserveMembers([]wire.Who{b}, 13*second)
		Convey("so the next holder's duty moves at once", func() { So(guess(s, 2, b.Boot, 15*second), ShouldBeTrue) })
		Convey("but not that of one which another planner chose, and which was here only before", func() {
			So(guess(s, 2, a.Boot, 15*second), ShouldBeFalse)
			So(guess(s, 2, a.Boot, 21*second), ShouldBeTrue)
		})
		Convey("and one that was planned and left for a later turn moves in that turn", func() {
			left := []Change{{Pool: "p", Worker: "w", IfRevision: 2, IsHolderSuspected: true, Next: config.Duty{PreviousBoot: b.Boot}}}
			So(s.Filter(left, 15*second), ShouldHaveLength, 1)
			So(s.Filter(left, 16*second), ShouldHaveLength, 1)
			s.RecordMove(left[0], 16*second)
			So(s.Filter(left, 17*second), ShouldBeEmpty)
		})
		Convey("nor that of a life which it never saw", func() { So(guess(s, 2, "b.2", 15*second), ShouldBeFalse) })
		Convey("and lives are forgotten", func() {
			s.ObserveMembers(nil, 100*second)
			So(s.lastSeen, ShouldBeEmpty)
		})
	})
	Convey("A plan keeps", t, func() {
		s := HoldDown{Period: 6 * time.Second}
		for _, c := range cases {
			kept := s.Filter([]Change{{Pool: "p", Worker: "w", IfRevision: c.term, IsHolderSuspected: c.isGuess}}, c.at)
			So(c.name+": "+fmt.Sprint(len(kept) == 1), ShouldEqual, c.name+": "+fmt.Sprint(c.isKept))
		}
	})
}

// TestProposals: what was proposed and is not seen yet counts in a plan.
func TestProposals(t *testing.T) {
	const second = time.Second
	workers := map[string]config.Worker{}
	for i := range 20 {
		workers[fmt.Sprint("w", i)] = config.Worker{Zone: "a"}
	}
	a, b := wire.Who{Name: "a1", Boot: "1", Zone: "a"}, wire.Who{Name: "a2", Boot: "1", Zone: "a"}
	never := func(string) (int64, bool) { return 0, false }
	plan := func(p *Proposals, here ...wire.Who) []Change {
		return Plan("p", compiled(workers, nil), Adapters{Members: here, Proposals: p}, never)
	}
	Convey("Given ten of twenty duties proposed for one adapter", t, func() {
		p := &Proposals{Timeout: 2 * second}
		first := plan(p, a)[:10]
		for _, change := range first {
			p.Add(change, second)
		}
		Convey("the others go to the one that will have fewer", func() {
			rest := plan(p, a, b)
			So(rest, ShouldHaveLength, 10)
			for _, change := range rest {
				So(change.Next.Holder, ShouldEqual, "a2")
			}
		})
		Convey("one that failed is planned again", func() {
			p.Fail(first[3])
			So(plan(p, a, b), ShouldHaveLength, 11)
		})
		Convey("a failure of an older proposal is none of the newer", func() {
			newer := first[3]
			newer.IfRevision = 7
			p.Add(newer, second)
			p.Fail(first[3])
			_, isOpen := p.find("p/"+newer.Worker, 7)
			So(isOpen, ShouldBeTrue)
		})
		Convey("what is seen at another revision is planned whatever was proposed", func() {
			seen := func(string) (int64, bool) { return 9, true }
			So(Plan("p", compiled(workers, nil), Adapters{Members: []wire.Who{a, b}, Proposals: p}, seen), ShouldHaveLength, 20)
		})
		Convey("they are forgotten in time", func() {
			p.Expire(3*second - 1)
			So(p.IsEmpty(), ShouldBeFalse)
			p.Expire(3 * second)
			So(p.IsEmpty(), ShouldBeTrue)
			So(plan(p, a, b), ShouldHaveLength, 20)
		})
	})
	Convey("A duty that is being removed is not removed twice", t, func() {
		p, gone := &Proposals{Timeout: second}, compiled(nil, map[string]config.AssignedDuty{"w": held("a1", "1")})
		removed := Plan("p", gone, Adapters{Members: []wire.Who{a}, Proposals: p}, never)
		So(removed, ShouldHaveLength, 1)
		p.Add(removed[0], 0)
		So(Plan("p", gone, Adapters{Members: []wire.Who{a}, Proposals: p}, never), ShouldBeEmpty)
	})
}
