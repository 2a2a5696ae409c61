package manager

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"caperwheel/internal/daemon"
	"caperwheel/internal/session"
	"caperwheel/internal/wire"
)

// TestManagersMeet guards against managers that are not seeds never learning of each other, and so of
// the daemons whose sessions the other one holds.
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
	Convey("Given a manager with which two others share their sessions", t, func() {
		seed, first, second := manager("seed"), manager("first"), manager("second")
		seed.applyShare(&wire.Share{Who: first.d.Who, Members: []wire.Member{{Who: first.d.Who, Age: 500},
			{Who: wire.Who{Name: "store", Kind: "store"}, Age: 100}}})
		second.applyShare(seed.ownShare())
		Convey("each learns of the other from it, with the true age, but not of sessions that another manager holds", func() {
			So(ages(second), ShouldContainKey, "first")
			So(ages(second)["first"], ShouldBeGreaterThanOrEqualTo, 500)
			So(ages(second), ShouldNotContainKey, "store")
		})
		Convey("what it relays on the other does not renew the other's session", func() {
			share := seed.ownShare()
			for i := range share.Members {
				share.Members[i].Age = 0
			}
			second.applyShare(share)
			So(ages(second)["first"], ShouldBeGreaterThanOrEqualTo, 500)
		})
	})
}

// TestShares guards against a manager that replaces the state that a peer reports of itself by an empty
// one, so that the doctor command reported every other manager as stale.
func TestShares(t *testing.T) {
	who := wire.Who{Name: "manager-2", Kind: "manager", Boot: "1"}
	cases := []struct {
		name    string
		members []wire.Member
		isFresh bool
	}{
		{"the state that it reports of itself counts", []wire.Member{{Who: who, Age: 40, Fact: wire.Fact{Fresh: true, Revision: 7}}}, true},
		{"it is a member even before it reports any state", nil, false},
	}
	Convey("When a peer shares its sessions,", t, func() {
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
