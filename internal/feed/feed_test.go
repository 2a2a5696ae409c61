package feed

import (
	"fmt"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"caperwheel/internal/wire"
)

func edit(key string, ifRevision int64) wire.Edit {
	return wire.Edit{Key: key, Value: []byte(key), IfRevision: ifRevision}
}

func TestEdits(t *testing.T) {
	cases := []struct {
		name string
		last wire.Edit
		kind string
	}{
		{"a new key that does not exist", edit("b", 0), ""},
		{"an existing key as a new one", edit("a", 0), "conflict"},
		{"an existing key based on its revision", edit("a", 2), ""},
		{"an existing key based on an old revision", edit("a", 1), "conflict"},
		{"an existing key based on any revision", edit("a", -1), ""},
		{"a key that does not exist based on a revision", edit("b", 1), "conflict"},
		{"a deleted key as a new one", edit("gone", 0), ""},
		{"a deleted key based on its revision", edit("gone", 3), "conflict"},
	}
	Convey("A part gets an edit of", t, func() {
		for _, c := range cases {
			Convey(c.name, func() {
				p := NewPart()
				p.Apply(edit("a", 0))
				p.Apply(edit("a", 1))
				p.Apply(wire.Edit{Key: "gone", Gone: true, IfRevision: -1})
				So(p.Apply(c.last).Kind, ShouldEqual, c.kind)
				again, err := RestorePart(p.Snapshot())
				So(err, ShouldBeNil)
				So(again.Snapshot(), ShouldResemble, p.Snapshot())
			})
		}
	})
}

func TestViewFollows(t *testing.T) {
	Convey("Given a part with many changes and a follower", t, func() {
		p := NewPart()
		for i := range 1200 {
			p.Apply(edit(fmt.Sprintf("k%d", i), 0))
		}
		v := NewView(0)
		ask := func(age int64) {
			news, isNewest := p.News(0, v.Revision(0))
			if isNewest {
				news.Age = age
			}
			v.Update([]wire.PartNews{news}, 10*time.Second)
		}
		Convey("its view is not confirmed before it has all changes", func() {
			ask(0)
			_, isSure := v.Age(10 * time.Second)
			So(isSure, ShouldBeFalse)
			ask(0)
			ask(0)
			So(v.Revision(0), ShouldEqual, 1200)
			So(v.IsFresh(12*time.Second, 2*time.Second), ShouldBeTrue)
			So(v.IsFresh(12*time.Second+1, 2*time.Second), ShouldBeFalse)
		})
		Convey("the age in an answer counts, and is included in what the view passes on", func() {
			for range 3 {
				ask(500_000)
			}
			age, _ := v.Age(11 * time.Second)
			So(age, ShouldEqual, 1500*time.Millisecond)
			news := v.News([]wire.PartRevision{{Part: 0, Revision: 1200}}, 11*time.Second)
			So(news[0].Age, ShouldEqual, 1_500_000)
		})
		Convey("an answer may be older than the process of the follower", func() {
			// A daemon that had just started used to treat such answers as confirmed at its start.
			for range 3 {
				ask(30_000_000)
			}
			age, isSure := v.Age(10 * time.Second)
			So(isSure, ShouldBeTrue)
			So(age, ShouldEqual, 30*time.Second)
		})
		Convey("it never goes back to an older state", func() {
			for range 3 {
				ask(0)
			}
			old := wire.PartNews{From: 0, To: 5, Age: 0, Changes: []wire.Change{{Key: "k1", Value: []byte("old"), Revision: 5}}}
			v.Update([]wire.PartNews{old}, 99*time.Second)
			c, _ := v.Get(0, "k1")
			So(string(c.Value), ShouldEqual, "k1")
			So(v.IsFresh(20*time.Second, time.Second), ShouldBeFalse)
		})
		Convey("an answer that leaves a gap is ignored", func() {
			v.Update([]wire.PartNews{{From: 100, To: 101}}, 0)
			So(v.Revision(0), ShouldEqual, 0)
		})
	})
}
