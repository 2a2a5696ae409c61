package session

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"caperwheel/internal/wire"
)

func member(name, boot string, age int64) wire.Member {
	return wire.Member{Who: wire.Who{Name: name, Boot: boot}, Age: age}
}

// TestSessions is the table of who is a member.
func TestSessions(t *testing.T) {
	const gone = 2 * time.Second
	cases := []struct {
		name string
		do   func(r *Registry)
		at   time.Duration
		boot string // of x; empty for no member
	}{
		{"whoever was heard lately", func(r *Registry) { r.Hear(member("x", "1", 0), 0, true) }, gone, "1"},
		{"not who has been silent", func(r *Registry) { r.Hear(member("x", "1", 0), 0, true) }, gone + 1, ""},
		{"not who was silent already when a peer told", func(r *Registry) { r.Hear(member("x", "1", 1500), time.Second, false) }, 1600 * time.Millisecond, ""},
		{"the newest life", func(r *Registry) {
			r.Hear(member("x", "1", 0), 0, true)
			r.Hear(member("x", "2", 0), 1, false)
		}, 1, "2"},
		{"not an older life that a peer still tells of", func(r *Registry) {
			r.Hear(member("x", "2", 0), time.Second, true)
			r.Hear(member("x", "1", 900), time.Second, false)
		}, time.Second, "2"},
	}
	Convey("A member is", t, func() {
		for _, c := range cases {
			Convey(c.name, func() {
				r := NewRegistry(gone)
				c.do(r)
				_, list := r.Members(c.at)
				boot := ""
				for _, m := range list {
					boot = m.Who.Boot
				}
				So(boot, ShouldEqual, c.boot)
			})
		}
		Convey("told on by peers with ages that only grow", func() {
			one, two := NewRegistry(gone), NewRegistry(gone)
			one.Hear(member("x", "1", 0), 0, true)
			for _, m := range one.Own(time.Second) {
				two.Hear(m, 5*time.Second, false)
			}
			_, list := two.Members(5*time.Second + 500*time.Millisecond)
			So(list[0].Age, ShouldEqual, 1500)
			So(two.Own(5*time.Second), ShouldBeEmpty)
		})
	})
	Convey("The owner of a group is the one of the newest term", t, func() {
		roll := NewRoll()
		a, b := member("a", "1", 0), member("b", "1", 0)
		a.Owns, b.Owns = []wire.Owned{{Group: 1, Term: 3}}, []wire.Owned{{Group: 1, Term: 4}}
		roll.Take("h", []wire.Member{a, b})
		who, _ := roll.Owner(1)
		So(who.Name, ShouldEqual, "b")
		_, isKnown := roll.Owner(2)
		So(isKnown, ShouldBeFalse)
		So([]bool{roll.HasOwner(1), roll.HasOwner(2)}, ShouldResemble, []bool{true, false})
	})
}
