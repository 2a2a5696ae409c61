package group

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"caperwheel/internal/timing"
	"caperwheel/internal/wire"
)

const flowSeeds = 30

// TestBytesByDelay guards against sending unanswered entries again with each heartbeat: the bytes sent for a message
// then grew with the delay of the links.
func TestBytesByDelay(t *testing.T) {
	Convey("Each entry is sent to each follower once, with", t, func() {
		for _, c := range []struct{ delay, sync time.Duration }{{time.Millisecond, 2 * time.Millisecond}, {6 * time.Millisecond, 8 * time.Millisecond},
			{60 * time.Millisecond, 8 * time.Millisecond}, {100 * time.Millisecond, 60 * time.Millisecond}, {3 * time.Millisecond, 200 * time.Millisecond}} {
			Convey(fmt.Sprintf("a link delay of %v and a sync time of %v", c.delay, c.sync), func() {
				p := newTestCluster(c.delay, c.sync)
				p.start()
				p.run(2*time.Second, 0, 0)
				p.run(6*time.Second, 10*time.Millisecond, 4000)
				p.run(7*time.Second, 0, 0)
				So(p.accepted, ShouldBeGreaterThan, 300*4000)
				So(p.applied, ShouldEqual, p.accepted)
				for _, to := range trio[1:] {
					So(p.sent[trio[0]+">"+to], ShouldEqual, p.accepted)
				}
			})
		}
	})
}

// TestBytesAfterAbsence checks that a member that comes back over a slow link receives the entries it lacks about once,
// and that heartbeats never wait long behind them.
func TestBytesAfterAbsence(t *testing.T) {
	Convey("Given a link of 3 MB/s to a member that was unreachable for two seconds", t, func() {
		p := newTestCluster(6*time.Millisecond, 2*time.Millisecond)
		p.rate, p.maxLinkBacklog = 3<<20, 256<<10
		isAway := func(now time.Duration) bool { return now > 3*time.Second && now < 5*time.Second }
		p.isLost = func(now time.Duration, m wire.GroupMsg) bool {
			return isAway(now) && (m.To == trio[1] || m.From == trio[1])
		}
		p.start()
		p.run(2*time.Second, 0, 0)
		Convey("less than a tenth is sent twice", func() {
			p.run(9*time.Second, 5*time.Millisecond, 8000)
			p.run(10*time.Second, 0, 0)
			So(p.applied, ShouldEqual, p.accepted)
			So(p.members[trio[1]].View().Last, ShouldEqual, p.members[trio[0]].View().Last)
			So(float64(p.sent[trio[0]+">"+trio[1]]), ShouldBeLessThan, 1.1*float64(p.accepted))
			So(p.longestLinkWait, ShouldBeLessThan, timing.Default.Of(timing.ElectionTimeout))
		})
		Convey("no more than two windows are sent to it while it is unreachable", func() {
			before := 0
			p.run(3200*time.Millisecond, 5*time.Millisecond, 8000)
			before = p.sent[trio[0]+">"+trio[1]]
			p.run(4900*time.Millisecond, 5*time.Millisecond, 8000)
			So(p.sent[trio[0]+">"+trio[1]]-before, ShouldBeLessThan, 2*InFlightBytesLimit)
		})
		Convey("a snapshot that takes long is sent once", func() {
			p.rate, p.maxLinkBacklog = 500<<10, 64<<10
			p.run(4900*time.Millisecond, 20*time.Millisecond, 4000)
			p.compact(trio[0])
			p.run(11*time.Second, 20*time.Millisecond, 4000)
			So(p.members[trio[1]].View().Commit, ShouldBeGreaterThan, p.members[trio[0]].View().Commit-20)
			So(p.sent[trio[0]+">"+trio[1]], ShouldBeBetween, 700<<10, 700<<10+InFlightBytesLimit+p.accepted)
		})
		Convey("a snapshot that is lost is sent again", func() {
			lost := 0
			away := p.isLost
			p.isLost = func(now time.Duration, m wire.GroupMsg) bool {
				if m.Kind == MsgSnapshot && lost == 0 {
					lost++
					return true
				}
				return away(now, m)
			}
			p.run(4900*time.Millisecond, 20*time.Millisecond, 4000)
			p.compact(trio[0])
			p.run(8*time.Second, 20*time.Millisecond, 4000)
			So(lost, ShouldEqual, 1)
			So(p.members[trio[1]].View().Commit, ShouldBeGreaterThan, p.members[trio[0]].View().Commit-20)
		})
	})
}

// TestLostAppends checks that, if one of many appends in flight is lost, the entries after it are sent again once, and
// not once for each append that was rejected.
func TestLostAppends(t *testing.T) {
	Convey("Given many appends in flight, of which the one with entry 40 is lost", t, func() {
		p := newTestCluster(60*time.Millisecond, 2*time.Millisecond)
		index := int64(0)
		p.isLost = func(_ time.Duration, m wire.GroupMsg) bool {
			isIt := m.To == trio[1] && slices.ContainsFunc(m.Entries, func(e wire.Entry) bool { return e.Index == 40 }) && index == 0
			if isIt {
				index = 40
			}
			return isIt
		}
		p.start()
		p.run(2*time.Second, 0, 0)
		p.run(4*time.Second, 5*time.Millisecond, 4000)
		p.run(5*time.Second, 0, 0)
		So(index, ShouldEqual, 40)
		So(p.applied, ShouldEqual, p.accepted)
		So(p.members[trio[1]].View().Last, ShouldEqual, p.members[trio[0]].View().Last)
		So(p.sent[trio[0]+">"+trio[1]]-p.accepted, ShouldBeLessThan, 2*InFlightBytesLimit)
	})
}

// TestTail checks that a member that lacks only a few entries of a snapshot receives entries instead of the snapshot.
func TestTail(t *testing.T) {
	Convey("Given an owner that makes a snapshot while a member lacks a few entries", t, func() {
		p := newTestCluster(6*time.Millisecond, 2*time.Millisecond)
		p.isLost = func(now time.Duration, m wire.GroupMsg) bool {
			return now > 3*time.Second && now < 4*time.Second && (m.To == trio[1] || m.From == trio[1])
		}
		p.start()
		p.run(2*time.Second, 0, 0)
		p.run(3900*time.Millisecond, 20*time.Millisecond, 1000)
		p.compact(trio[0])
		Convey("the member receives entries and no snapshot", func() {
			p.run(6*time.Second, 20*time.Millisecond, 1000)
			p.run(7*time.Second, 0, 0)
			So(p.members[trio[1]].View().Commit, ShouldEqual, p.members[trio[0]].View().Commit)
			So(p.sent[trio[0]+">"+trio[1]], ShouldBeLessThan, p.accepted+InFlightBytesLimit)
		})
		Convey("the durable state continues after the snapshot", func() {
			owner := p.members[trio[0]]
			owner.Propose([]byte("behind it"), p.now)
			hard, log := owner.DurableState()
			So(log[0].Index, ShouldEqual, p.snapshots[trio[0]].Index+1)
			again := New(Options{Id: 1, Self: trio[0], Bounds: timing.Default}, hard, p.snapshots[trio[0]], log, 0)
			So(again.View().Last, ShouldEqual, owner.View().Last)
			So(again.View().Roster, ShouldResemble, trio)
		})
	})
}

// TestFlowUnderFaults checks that all members have the same log in the end, whichever messages are lost, duplicated or
// reordered, and whenever snapshots are made.
func TestFlowUnderFaults(t *testing.T) {
	Convey("Over links that lose, duplicate and reorder messages", t, func() {
		for seed := range uint64(flowSeeds) {
			random := rand.New(rand.NewPCG(seed, 1))
			p := newTestCluster(6*time.Millisecond, 8*time.Millisecond)
			share, cut := random.Float64()*0.3, ""
			p.isLost = func(_ time.Duration, m wire.GroupMsg) bool {
				isCut := cut != "" && (m.From == cut || m.To == cut)
				if !isCut && random.Float64() < share/4 {
					p.after(time.Duration(random.IntN(200))*time.Millisecond, func() { p.handle(m.To, p.members[m.To].Receive(m, p.now)) })
				}
				return isCut || random.Float64() < share
			}
			p.jitter = func() time.Duration {
				if random.IntN(10) > 0 {
					return 0
				}
				return time.Duration(random.IntN(100)) * time.Millisecond
			}
			p.start()
			for range 12 {
				cut = append(slices.Clone(trio), "", "")[random.IntN(5)]
				p.run(p.now+time.Duration(200+random.IntN(1500))*time.Millisecond, 5*time.Millisecond, 1+random.IntN(12000))
				p.compact(trio[random.IntN(3)])
			}
			cut, share, p.jitter = "", 0, nil
			p.run(p.now+5*time.Second, 0, 0)
			for _, name := range trio[1:] {
				So(p.members[name].View().Last, ShouldEqual, p.members[trio[0]].View().Last)
				So(p.members[name].View().Commit, ShouldEqual, p.members[trio[0]].View().Last)
				So(p.members[name].lastTerm(), ShouldEqual, p.members[trio[0]].lastTerm())
			}
			So(p.members[trio[0]].View().Commit, ShouldBeGreaterThan, 100)
		}
	})
}
