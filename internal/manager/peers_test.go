package manager

import (
	"fmt"
	"slices"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"caperwheel/internal/daemon"
	"caperwheel/internal/session"
	"caperwheel/internal/timing"
	"caperwheel/internal/wire"
)

// TestAnswersToPeers guards against managers that send each other all their sessions twice per polling
// period, in their share and again in the answer to the peer's share.
func TestAnswersToPeers(t *testing.T) {
	peer := wire.Who{Name: "manager-2", Kind: "manager", Boot: "1"}
	period := timing.Default.Of(timing.Poll)
	cases := []struct {
		name    string
		prepare func(m *Manager, now time.Duration)
		isWhole bool
	}{
		{"a peer that acknowledges our shares gets only our own session", func(m *Manager, now time.Duration) { m.peers.recordTaken("1", now-2*period) }, false},
		{"an unknown peer gets all our sessions", func(*Manager, time.Duration) {}, true},
		{"so does a peer that has restarted since its acknowledgement", func(m *Manager, now time.Duration) { m.peers.recordTaken("0", now) }, true},
		{"so does a peer that has acknowledged none for a while", func(m *Manager, now time.Duration) { m.peers.recordTaken("1", now-5*period) }, true},
	}
	Convey("In the answer to a peer's share,", t, func() {
		for _, c := range cases {
			for _, daemons := range []int{4, 400} {
				Convey(fmt.Sprintf("%s, with %d daemons", c.name, daemons), func() {
					m := &Manager{d: &daemon.Daemon{Started: time.Now().Add(-time.Minute), Bounds: timing.Default, Who: wire.Who{Name: "manager-1", Boot: "9"}},
						registry: session.NewRegistry(timing.Default.Of(timing.SessionTimeout))}
					now := m.d.Now()
					m.registry.Renew(wire.Member{Who: m.d.Who, Fact: wire.Fact{Fresh: true}}, now, true)
					for i := range daemons {
						m.registry.Renew(wire.Member{Who: wire.Who{Name: fmt.Sprint("agent-", i), Boot: "a"}}, now, true)
					}
					c.prepare(m, now)
					var reply *wire.Share
					m.onPeer(peer, &wire.Share{Who: peer}, func(answer any) { reply = answer.(*wire.Share) })
					want := 1
					if c.isWhole {
						want += daemons + 1 // and the known managers: the peer
					}
					So(len(reply.Members), ShouldEqual, want)
					So(reply.Who, ShouldResemble, m.d.Who)
					Convey("and does not treat us as stale", func() {
						other := &Manager{d: &daemon.Daemon{Started: time.Now().Add(-time.Minute)}, registry: session.NewRegistry(time.Hour)}
						other.applyShare(reply)
						_, members := other.registry.Members(other.d.Now())
						at := slices.IndexFunc(members, func(member wire.Member) bool { return member.Who.Name == "manager-1" })
						So(at, ShouldBeGreaterThanOrEqualTo, 0)
						So(members[at].Fact.Fresh, ShouldBeTrue)
					})
				})
			}
		}
	})
}
