package feed

import (
	"fmt"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"caperwheel/internal/wire"
)

// TestTrail: what lies behind a revision was once looked for among all keys, by
// every follower and for every change.
func TestTrail(t *testing.T) {
	Convey("Given keys that change again and again", t, func() {
		one := newTrail()
		for revision := int64(1); revision <= 5000; revision++ {
			one.put(wire.Change{Key: fmt.Sprint(revision * revision % 97), Revision: revision})
		}
		Convey("behind any stamp lie the keys that changed since, in order", func() {
			for _, from := range []int64{0, 1, 4900, 4990, 4999, 5000, 5001} {
				standing := 0
				for _, c := range one.keys {
					if c.Revision > from {
						standing++
					}
				}
				got, isAll := one.behind(from, newsCount)
				So(isAll, ShouldBeTrue)
				So(len(got), ShouldEqual, standing)
				for i, c := range got {
					So(c, ShouldResemble, one.keys[c.Key])
					So(i == 0 || got[i-1].Revision < c.Revision, ShouldBeTrue)
				}
			}
		})
		Convey("void entries do not pile up", func() {
			So(len(one.order), ShouldBeLessThanOrEqualTo, 2*len(one.keys)+newsCount)
		})
		Convey("a state taken in whole, in any order, is the same", func() {
			two, all := newTrail(), []wire.Change{}
			for _, c := range one.keys {
				all = append(all, c)
			}
			two.fill(all)
			first, _ := one.behind(4950, newsCount)
			second, _ := two.behind(4950, newsCount)
			So(second, ShouldResemble, first)
		})
		Convey("an answer is cut at its bound, and goes on from there", func() {
			first, isAll := one.behind(0, 10)
			So(isAll, ShouldBeFalse)
			rest, isAll := one.behind(first[9].Revision, newsCount)
			So(isAll, ShouldBeTrue)
			So(len(first)+len(rest), ShouldEqual, len(one.keys))
		})
	})
}
