package feed

import (
	"fmt"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"caperwheel/internal/wire"
)

// TestTrail checks the changes since a revision. They used to be searched for among all keys, for every follower and
// every change.
func TestTrail(t *testing.T) {
	Convey("Given keys that change repeatedly", t, func() {
		one := newChangeLog()
		for revision := int64(1); revision <= 5000; revision++ {
			one.put(wire.Change{Key: fmt.Sprint(revision * revision % 97), Revision: revision})
		}
		Convey("the changes since any revision are those of the keys that have changed, in order", func() {
			for _, from := range []int64{0, 1, 4900, 4990, 4999, 5000, 5001} {
				changed := 0
				for _, c := range one.newest {
					if c.Revision > from {
						changed++
					}
				}
				got, isAll := one.since(from, newsChangesLimit)
				So(isAll, ShouldBeTrue)
				So(len(got), ShouldEqual, changed)
				for i, c := range got {
					So(c, ShouldResemble, one.newest[c.Key])
					So(i == 0 || got[i-1].Revision < c.Revision, ShouldBeTrue)
				}
			}
		})
		Convey("obsolete entries do not accumulate", func() {
			So(len(one.entries), ShouldBeLessThanOrEqualTo, 2*len(one.newest)+newsChangesLimit)
		})
		Convey("a change log loaded from a snapshot, in any order, is the same", func() {
			two, all := newChangeLog(), []wire.Change{}
			for _, c := range one.newest {
				all = append(all, c)
			}
			two.load(all)
			first, _ := one.since(4950, newsChangesLimit)
			second, _ := two.since(4950, newsChangesLimit)
			So(second, ShouldResemble, first)
		})
		Convey("an answer is cut at its limit, and the next one continues from there", func() {
			first, isAll := one.since(0, 10)
			So(isAll, ShouldBeFalse)
			rest, isAll := one.since(first[9].Revision, newsChangesLimit)
			So(isAll, ShouldBeTrue)
			So(len(first)+len(rest), ShouldEqual, len(one.newest))
		})
	})
}
