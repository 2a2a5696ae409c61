package host

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"caperwheel/internal/errs"
	"caperwheel/internal/group"
	"caperwheel/internal/timing"
	"caperwheel/internal/wire"
)

// TestGather guards against replicating each command by itself, with a message, a reply and a write for
// each, however many are proposed at the same time.
func TestGather(t *testing.T) {
	Convey("Given the owner of a group of three that batches proposals", t, func() {
		names := []string{"a", "b", "c"}
		c := newCluster(names, names, names)
		for len(c.voters()) == 0 && c.now < timing.Default.ConfigApply {
			c.tick()
		}
		var owner *Host
		for _, h := range c.byName {
			if h.IsOwner() {
				owner = h
			}
		}
		type timer struct {
			span time.Duration
			work func()
		}
		timers, appends := []timer{}, 0
		owner.opts.Schedule = func(span time.Duration, work func()) { timers = append(timers, timer{span, work}) }
		send := owner.opts.Send
		owner.opts.Send = func(m wire.GroupMsg) {
			if m.Kind == group.MsgAppend && len(m.Entries) > 0 {
				appends++
			}
			send(m)
		}
		committed, refused := 0, 0
		propose := func(bytes int) {
			owner.Propose(make([]byte, bytes), func(_ any, err error) {
				switch {
				case err == nil:
					committed++
				case errs.Is(err, errs.NotOwner):
					refused++
				}
			})
		}
		advance := func() {
			owner.RunPending()
			c.tick()
			c.tick()
		}
		for range 5 {
			propose(10)
		}
		Convey("nothing is sent before the next multiple of the interval, and only one timer is started", func() {
			So(appends, ShouldEqual, 0)
			So(timers, ShouldHaveLength, 1)
			period := timing.Default.Of(timing.BatchDelayLimit)
			So(timers[0].span, ShouldBeBetweenOrEqual, 1, period)
			So((c.now+timers[0].span)%period, ShouldEqual, time.Duration(0))
			So(owner.PendingProposals(), ShouldEqual, 5)
			c.now += time.Millisecond
			So(owner.OldestProposalAge(), ShouldEqual, time.Millisecond)
		})
		Convey("then all are sent in one message to each replica, and each callback is called", func() {
			timers[0].work()
			advance()
			So(appends, ShouldEqual, 2)
			So(committed, ShouldEqual, 5)
			So(owner.PendingProposals(), ShouldEqual, 0)
		})
		Convey("if the timer does not fire, the tick flushes the batch", func() {
			advance()
			So(committed, ShouldEqual, 5)
		})
		Convey("a large batch is not held back", func() {
			propose(batchBytesLimit)
			So(appends, ShouldBeGreaterThan, 0)
		})
		Convey("batched proposals fail with NotOwner when ownership ends, since they will never be committed", func() {
			owner.machine.Receive(wire.GroupMsg{Group: 1, Kind: group.MsgAppend, From: "x/0", To: owner.opts.Self, Term: 99}, c.now)
			owner.updateOwnership()
			So(refused, ShouldEqual, 5)
			So(owner.PendingProposals(), ShouldEqual, 0)
		})
	})
}
