package repair

import (
	"fmt"
	"slices"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"caperwheel/internal/wire"
)

// TestWanted checks which stores should hold a group.
func TestWanted(t *testing.T) {
	four := []Store{{Name: "s1", Zone: "a"}, {Name: "s2", Zone: "b"}, {Name: "s3", Zone: "c"}, {Name: "s4", Zone: "a"}}
	absent := func(s Store) Store { s.IsAbsent = true; return s }
	cases := []struct {
		name    string
		roster  []string
		stores  []Store
		retired map[string]bool
		want    []string
	}{
		{"a complete roster stays", []string{"s1", "s2", "s3"}, four, nil, []string{"s1", "s2", "s3"}},
		{"an absent store stays a holder", []string{"s1", "s2", "s3"}, append([]Store{absent(four[0])}, four[1:]...), nil, []string{"s1", "s2", "s3"}},
		{"a spare replaces a retired store", []string{"s1", "s2", "s3"}, four, map[string]bool{"s1": true}, []string{"s2", "s3", "s4"}},
		{"without a spare two holders are left", []string{"s1", "s2", "s3"}, four[:3], map[string]bool{"s1": true}, []string{"s2", "s3"}},
		{"a retired store stays a holder if only one other is left", []string{"s1", "s2"}, four[:2], map[string]bool{"s1": true}, []string{"s1", "s2"}},
		{"a missing copy goes to a zone that has none", []string{"s1", "s2"}, four, nil, []string{"s1", "s2", "s3"}},
	}
	Convey("Holders of a group:", t, func() {
		for _, c := range cases {
			Convey(c.name, func() {
				stores := []Store{}
				for _, s := range c.stores {
					s.IsRetired = c.retired[s.Name]
					stores = append(stores, s)
				}
				got := SelectHolders(1, c.roster, stores, 3)
				slices.Sort(got)
				So(got, ShouldResemble, c.want)
			})
		}
	})
}

// TestSpread checks that stores hold about the same number of groups, and that an added store moves only the groups
// that it receives.
func TestSpread(t *testing.T) {
	const groups = 480
	zones := []string{"a", "b", "c"}
	storesInZones := func(count int) (stores []Store) {
		for i := range count {
			stores = append(stores, Store{Name: fmt.Sprint("s", i), Zone: zones[i%3]})
		}
		return
	}
	Convey("Given nine stores in three zones", t, func() {
		held := map[string]int{}
		for g := range int64(groups) {
			in := map[string]bool{}
			for _, name := range SpreadHolders(g, storesInZones(9), 3) {
				held[name]++
				for _, s := range storesInZones(9) {
					if s.Name == name {
						in[s.Zone] = true
					}
				}
			}
			So(len(in), ShouldEqual, 3)
		}
		for _, s := range storesInZones(9) {
			So(held[s.Name], ShouldBeBetween, groups/3*7/10, groups/3*13/10)
		}
		Convey("a tenth moves only the groups that it receives", func() {
			moved, taken := 0, 0
			for g := range int64(groups) {
				before := SpreadHolders(g, storesInZones(9), 3)
				for _, name := range SpreadHolders(g, storesInZones(10), 3) {
					if name == "s9" {
						taken++
					} else if !slices.Contains(before, name) {
						moved++
					}
				}
			}
			So(moved, ShouldEqual, 0)
			So(taken, ShouldBeBetween, groups/4*7/10, groups/4*13/10)
		})
	})
}

func TestKeeper(t *testing.T) {
	result := func(id string, attempt int64) *wire.Outcome {
		return &wire.Outcome{Id: id, Step: StepLeave, Proof: wire.Proof{Attempt: attempt}}
	}
	Convey("Given a buffer with a capacity of two", t, func() {
		k := NewResultBuffer(2, time.Second, 2*time.Second)
		k.Handle(result("x", 1), 0)
		ids := func(now time.Duration) string {
			out := ""
			for _, o := range k.Due(now) {
				out += o.Id
			}
			return out
		}
		Convey("a result is delivered after the delay, and again until it is forgotten", func() {
			So([]string{ids(999 * time.Millisecond), ids(time.Second), ids(2 * time.Second), ids(3 * time.Second)}, ShouldResemble,
				[]string{"", "x", "", "x"})
			k.Handle(&wire.Outcome{Id: "x", Step: StepForget, Proof: wire.Proof{Attempt: 1}}, 0)
			So(ids(time.Hour), ShouldEqual, "")
		})
		Convey("it reports which results it keeps, by attempt", func() {
			has := func(attempt int64) string {
				return k.Handle(&wire.Outcome{Id: "x", Step: StepHas, Proof: wire.Proof{Attempt: attempt}}, 0).Kind
			}
			So([]string{has(1), has(2)}, ShouldResemble, []string{"", "unknown"})
		})
		Convey("what it delivers is meant for an owner, and it does not handle what is meant for an owner", func() {
			So(k.Due(time.Hour)[0].Step, ShouldEqual, "")
			So(k.Handle(&wire.Outcome{Id: "y"}, 0), ShouldBeNil)
		})
		Convey("a third result is refused", func() {
			So(k.Add(result("y", 1), 0), ShouldBeTrue)
			So(k.Add(result("z", 1), 0), ShouldBeFalse)
			So(k.Add(result("x", 1), 0), ShouldBeTrue)
		})
	})
}
