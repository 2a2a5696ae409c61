package duty

import (
	"fmt"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"caperwheel/internal/config"
	"caperwheel/internal/wire"
)

// compiled returns the control state of a pool p with workers, duties and drained zones.
func compiled(workers map[string]config.Worker, duties map[string]config.AssignedDuty, emptied ...string) *config.Compiled {
	out := &config.Compiled{Workers: map[string]config.Table[config.Worker]{"p": config.TableOf(workers)},
		Duties: map[string]config.Table[config.AssignedDuty]{"p": config.TableOf(duties)}, DrainedZones: map[string]bool{}}
	for _, zone := range emptied {
		out.DrainedZones[zone] = true
	}
	return out
}

// held returns a duty of a holder, with term 7.
func held(holder, boot string) config.AssignedDuty {
	return config.AssignedDuty{Duty: config.Duty{Holder: holder, Boot: boot}, Term: 7}
}

// TestPlan checks when a duty moves to another holder.
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
		holder   string // prefix of the new holder's name; "" for no change, "gone" for a removal
		before   string
	}{
		{"a duty that never had a holder goes to the worker's zone, without fencing", compiled(inA, nil), never, "a", ""},
		{"a duty that once had a holder is fenced", compiled(inA, nil), func(string) (int64, bool) { return 0, true }, "a", "an earlier holder"},
		{"a live holder keeps its duty", compiled(inA, map[string]config.AssignedDuty{"w": held("a1", "1")}), known, "", ""},
		{"a restarted holder is not the same holder", compiled(inA, map[string]config.AssignedDuty{"w": held("a1", "0")}), known, "a", "0"},
		{"an absent holder loses its duty", compiled(inA, map[string]config.AssignedDuty{"w": held("x", "1")}), known, "a", "1"},
		{"a holder in another zone loses its duty to one in the worker's zone", compiled(inA, map[string]config.AssignedDuty{"w": held("b1", "1")}), known, "a", "1"},
		{"a holder in a drained zone loses its duty", compiled(inA, map[string]config.AssignedDuty{"w": held("a1", "1")}, "a"), known, "b", "1"},
		{"the duty of a worker in a zone without adapters stays with any holder", compiled(map[string]config.Worker{"w": {Name: "w", Zone: "z"}},
			map[string]config.AssignedDuty{"w": held("b1", "1")}), known, "", ""},
		{"a leaving holder loses its duty at once", compiled(inA, map[string]config.AssignedDuty{"w": held("l1", "1")}), known, "a", "1"},
		{"the duty of a worker that is no longer listed is removed", compiled(nil, map[string]config.AssignedDuty{"w": held("a1", "1")}), known, "gone", ""},
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
		Convey("the duties of many workers are spread evenly", func() {
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
	Convey("When a daemon is removed, a key's highest-ranked daemon stays the same unless it is the removed one", t, func() {
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

// TestReborn checks that a restarted holder keeps its duty without fencing. After a power failure every
// duty waited for all sessions, and endpoints also for fencing, although only one process at a time
// has a name.
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
		{"a restarted holder keeps its duty, without fencing", "a1", "1", false, "a1", true, true},
		{"an absent holder loses its duty, with fencing", "x", "1", false, "a", false, false},
		{"a leaving holder loses its duty without fencing, as it begins no new work", "a2", "1", true, "a1", false, true},
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

// TestSteady guards against two managers with different views of the adapters moving a duty back and
// forth, so that fencing keeps an endpoint from being served at all.
func TestSteady(t *testing.T) {
	cases := []struct {
		name    string
		isGuess bool
		term    int64
		at      time.Duration
		isKept  bool
	}{
		{"a suspicion about a duty that has not moved for a while", true, 1, 20 * time.Second, true},
		{"no suspicion about a duty that has just moved", true, 2, 21 * time.Second, false},
		{"no suspicion a little later either", true, 2, 26 * time.Second, false},
		{"a suspicion when the hold-down period is over", true, 2, 27 * time.Second, true},
		{"a change without suspicion, at any time", false, 3, 27 * time.Second, true},
	}
	Convey("A holder's absence is certain for a planner that has seen it as a member since it last moved the duty", t, func() {
		const second = time.Second
		moves := func(s *HoldDown, term int64, boot string, at time.Duration) bool {
			kept := s.Filter([]Change{{Pool: "p", Worker: "w", IfRevision: term, IsHolderSuspected: true, Next: config.Duty{PreviousBoot: boot}}}, at)
			for _, change := range kept {
				s.RecordMove(change, at)
			}
			return len(kept) == 1
		}
		a, b := wire.Who{Name: "a", Boot: "a.1"}, wire.Who{Name: "b", Boot: "b.1"}
		s := &HoldDown{Period: 6 * second}
		s.ObserveMembers([]wire.Who{a, b}, 10*second)
		So(moves(s, 1, a.Boot, 13*second), ShouldBeTrue) // to b, which it sees as a member
		s.ObserveMembers([]wire.Who{b}, 13*second)
		Convey("so the next holder's duty moves at once", func() { So(moves(s, 2, b.Boot, 15*second), ShouldBeTrue) })
		Convey("but not the duty of a holder that another planner chose and that was last a member before the move", func() {
			So(moves(s, 2, a.Boot, 15*second), ShouldBeFalse)
			So(moves(s, 2, a.Boot, 21*second), ShouldBeTrue)
		})
		Convey("and a move that was planned and deferred happens in a later round", func() {
			left := []Change{{Pool: "p", Worker: "w", IfRevision: 2, IsHolderSuspected: true, Next: config.Duty{PreviousBoot: b.Boot}}}
			So(s.Filter(left, 15*second), ShouldHaveLength, 1)
			So(s.Filter(left, 16*second), ShouldHaveLength, 1)
			s.RecordMove(left[0], 16*second)
			So(s.Filter(left, 17*second), ShouldBeEmpty)
		})
		Convey("nor the duty of a process that it has never seen", func() { So(moves(s, 2, "b.2", 15*second), ShouldBeFalse) })
		Convey("and departed processes are forgotten", func() {
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

// TestProposals checks that a plan takes into account what was proposed and is not visible yet.
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
		Convey("the others go to the adapter that will have fewer", func() {
			rest := plan(p, a, b)
			So(rest, ShouldHaveLength, 10)
			for _, change := range rest {
				So(change.Next.Holder, ShouldEqual, "a2")
			}
		})
		Convey("a failed proposal is planned again", func() {
			p.Fail(first[3])
			So(plan(p, a, b), ShouldHaveLength, 11)
		})
		Convey("the failure of an older proposal leaves the newer one open", func() {
			newer := first[3]
			newer.IfRevision = 7
			p.Add(newer, second)
			p.Fail(first[3])
			_, isOpen := p.find("p/"+newer.Worker, 7)
			So(isOpen, ShouldBeTrue)
		})
		Convey("duties at another revision are planned in spite of their proposals", func() {
			seen := func(string) (int64, bool) { return 9, true }
			So(Plan("p", compiled(workers, nil), Adapters{Members: []wire.Who{a, b}, Proposals: p}, seen), ShouldHaveLength, 20)
		})
		Convey("they expire after the timeout", func() {
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
