package manager

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"caperwheel/internal/daemon"
	"caperwheel/internal/session"
	"caperwheel/internal/wire"
)

// TestShares: a manager told by a peer of the peer's own state once put a blank
// one in its place, so that the doctor took every other manager for stale.
func TestShares(t *testing.T) {
	who := wire.Who{Name: "manager-2", Kind: "manager", Boot: "1"}
	cases := []struct {
		name    string
		members []wire.Member
		isFresh bool
	}{
		{"what it tells of itself counts", []wire.Member{{Who: who, Age: 40, Fact: wire.Fact{Fresh: true, Stamp: 7}}}, true},
		{"it is a member also before it has anything to tell", nil, false},
	}
	Convey("Of a peer's share,", t, func() {
		for _, c := range cases {
			Convey(c.name, func() {
				m := &Manager{d: &daemon.Daemon{Started: time.Now().Add(-time.Minute)}, registry: session.NewRegistry(2 * time.Second)}
				m.takeShare(&wire.Share{Who: who, Members: c.members})
				_, members := m.registry.Members(m.d.Now())
				So(len(members), ShouldEqual, 1)
				So(members[0].Fact.Fresh, ShouldEqual, c.isFresh)
			})
		}
	})
}
