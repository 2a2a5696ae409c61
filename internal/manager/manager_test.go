package manager

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"caperwheel/internal/daemon"
	"caperwheel/internal/session"
	"caperwheel/internal/wire"
)

// TestManagersMeet: managers that were no seeds once never heard of each other,
// and so of none of the daemons whose sessions stood with the other.
func TestManagersMeet(t *testing.T) {
	manager := func(name string) *Manager {
		return &Manager{d: &daemon.Daemon{Started: time.Now().Add(-time.Minute), Who: wire.Who{Name: name, Kind: "manager"}},
			registry: session.NewRegistry(2 * time.Second)}
	}
	ages := func(m *Manager) map[string]int64 {
		out := map[string]int64{}
		_, members := m.registry.Members(m.d.Now())
		for _, member := range members {
			out[member.Who.Name] = member.Age
		}
		return out
	}
	Convey("Given a manager that two others share with", t, func() {
		seed, first, second := manager("seed"), manager("first"), manager("second")
		seed.applyShare(&wire.Share{Who: first.d.Who, Members: []wire.Member{{Who: first.d.Who, Age: 500},
			{Who: wire.Who{Name: "store", Kind: "store"}, Age: 100}}})
		second.applyShare(seed.ownShare())
		Convey("one learns of the other by it, at the age that is true, and not of sessions that stand elsewhere", func() {
			So(ages(second), ShouldContainKey, "first")
			So(ages(second)["first"], ShouldBeGreaterThanOrEqualTo, 500)
			So(ages(second), ShouldNotContainKey, "store")
		})
		Convey("what it hears of the other by it renews nothing", func() {
			share := seed.ownShare()
			for i := range share.Members {
				share.Members[i].Age = 0
			}
			second.applyShare(share)
			So(ages(second)["first"], ShouldBeGreaterThanOrEqualTo, 500)
		})
	})
}

// TestShares: a manager told by a peer of the peer's own state once put a blank
// one in its place, so that the doctor took every other manager for stale.
func TestShares(t *testing.T) {
	who := wire.Who{Name: "manager-2", Kind: "manager", Boot: "1"}
	cases := []struct {
		name    string
		members []wire.Member
		isFresh bool
	}{
		{"what it tells of itself counts", []wire.Member{{Who: who, Age: 40, Fact: wire.Fact{Fresh: true, Revision: 7}}}, true},
		{"it is a member also before it has anything to tell", nil, false},
	}
	Convey("Of a peer's share,", t, func() {
		for _, c := range cases {
			Convey(c.name, func() {
				m := &Manager{d: &daemon.Daemon{Started: time.Now().Add(-time.Minute)}, registry: session.NewRegistry(2 * time.Second)}
				m.applyShare(&wire.Share{Who: who, Members: c.members})
				_, members := m.registry.Members(m.d.Now())
				So(len(members), ShouldEqual, 1)
				So(members[0].Fact.Fresh, ShouldEqual, c.isFresh)
			})
		}
	})
}
