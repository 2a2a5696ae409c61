package store

import (
	"fmt"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"caperwheel/internal/errs"
	"caperwheel/internal/place"
	"caperwheel/internal/timing"
	"caperwheel/internal/wire"
)

// recoveringHarness returns the harness of a place with one message, whose newest command is at 1,000 in term 5, which
// has just been owned in term 7, with this many adapters as members.
func recoveringHarness(adapters int) *harness {
	b := newHarness()
	b.dataTerm, b.term = 5, 7
	for i := range adapters {
		name := fmt.Sprint("a", i)
		b.adapters = append(b.adapters, wire.Who{Name: name, Boot: name + ".1"})
	}
	b.place.OwnershipChanged(false)
	b.place.Apply(place.Command{Kind: place.CmdTake, Id: "0-x", Lane: "l", Deadline: 600_000, Delay: 9000, At: 1000}.Encode(), false)
	b.place.OwnershipChanged(true)
	return b
}

// takeReplies returns the reply functions of the posted messages of a type, and clears all posted messages.
func takeReplies[T any](b *harness) (out []func(any, error)) {
	for i, message := range b.posted {
		if _, is := message.(T); is {
			out = append(out, b.answers[i])
		}
	}
	b.posted, b.answers = nil, nil
	return out
}

// loseOwnership ends the ownership.
func (b *harness) loseOwnership() {
	b.isFollower = true
	b.place.OwnershipChanged(false)
}

// storeTime has the first adapter that was sent the time confirm that it has stored it.
func (b *harness) storeTime() { takeReplies[*wire.TellTime](b)[0](&wire.TimeTold{}, nil) }

// advance advances the clock and calls Tick.
func (b *harness) advance(span time.Duration) {
	b.now += span
	b.place.Tick(b.now)
}

// TestRecallBeforeOwnership guards against a new owner beginning at the time of the newest command in its log, however
// old that is.
func TestRecallBeforeOwnership(t *testing.T) {
	redial := timing.Default.Of(timing.RedialDelay)
	queryGrace, queryTimeout := timing.Default.Of(timing.TimeQueryGrace), timing.Default.Of(timing.TimeQueryTimeout)
	limit, maxWait := timing.Default.Of(timing.TimeRecoveryTimeout), timing.Default.Of(timing.TimeRecoveryMaxWait)
	known := &wire.TimeKept{Term: 5, Reading: 9000}
	Convey("The owner of a place without messages owns it at once", t, func() {
		b := newHarness()
		So(b.place.host.IsOwner(), ShouldBeTrue)
	})
	Convey("The owner of a place with a message", t, func() {
		b := recoveringHarness(2)
		replies := takeReplies[*wire.AskTime](b)
		So(replies, ShouldHaveLength, 2)
		So(b.place.host.IsOwner(), ShouldBeFalse)
		Convey("goes on from the time that an adapter reports, and waits for others only shortly", func() {
			replies[1](known, nil)
			b.advance(queryGrace - time.Millisecond)
			So(takeReplies[*wire.TellTime](b), ShouldBeEmpty)
			b.advance(time.Millisecond)
			So(b.place.host.IsOwner(), ShouldBeFalse)
			b.storeTime()
			So(b.place.host.IsOwner(), ShouldBeTrue)
			So(b.place.now(), ShouldEqual, 9000+queryGrace.Milliseconds())
			So(b.place.isTimeUnknown.Load(), ShouldBeFalse)
			Convey("and ignores a later answer", func() {
				replies[0](&wire.TimeKept{Term: 6, Reading: 20_000}, nil)
				So(b.place.now(), ShouldEqual, 9000+queryGrace.Milliseconds())
			})
			Convey("so that a delay ends in time", func() {
				So(b.place.Ready(), ShouldBeEmpty)
				b.advance(time.Second)
				So(b.place.Ready(), ShouldResemble, map[string]int{"l": 1})
			})
		})
		Convey("goes on from the latest of several readings, since an adapter that was frozen when it was sent the time is behind", func() {
			replies[1](known, nil)
			replies[0](&wire.TimeKept{Term: 5, Reading: 11_000}, nil)
			b.storeTime()
			So(b.place.host.IsOwner(), ShouldBeTrue)
			So(b.place.now(), ShouldEqual, 11_000)
		})
		Convey("does not wait for an adapter whose answer was lost, once the time is known", func() {
			replies[0](nil, errs.New(errs.Lost, "gone"))
			replies[1](known, nil)
			b.storeTime()
			So(b.place.now(), ShouldEqual, 9000)
		})
		Convey("goes on from its own log if no adapter knows the time, after the query timeout", func() {
			replies[0](&wire.TimeKept{}, nil)
			replies[1](&wire.TimeKept{}, nil)
			b.advance(queryTimeout - time.Millisecond)
			So(b.place.host.IsOwner(), ShouldBeFalse)
			b.advance(time.Millisecond)
			b.storeTime()
			So(b.place.host.IsOwner(), ShouldBeTrue)
			So(b.place.now(), ShouldEqual, 1000+queryTimeout.Milliseconds())
			status, _ := b.place.MessageStatus("0-x")
			So([]any{status.IsTimeUnknown, status.TimeMs}, ShouldResemble, []any{true, 1000 + queryTimeout.Milliseconds()})
		})
		Convey("waits for an adapter that is slow to answer", func() {
			replies[0](&wire.TimeKept{}, nil)
			b.advance(limit - time.Millisecond)
			So(b.place.host.IsOwner(), ShouldBeFalse)
			replies[1](known, nil) // it may be old
			b.advance(0)
			again := takeReplies[*wire.AskTime](b)
			So(again, ShouldHaveLength, 1)
			again[0](&wire.TimeKept{Term: 5, Reading: 9100}, nil)
			So(b.place.now(), ShouldEqual, 9100)
			b.storeTime()
			So(b.place.host.IsOwner(), ShouldBeTrue)
			So(b.place.isTimeUnknown.Load(), ShouldBeFalse)
		})
		Convey("goes on from an old reading if no newer one comes", func() {
			b.advance(queryTimeout + time.Millisecond)
			replies[1](known, nil)
			b.advance(limit)
			So(b.place.now(), ShouldEqual, 9000+limit.Milliseconds())
			b.storeTime()
			So(b.place.host.IsOwner(), ShouldBeTrue)
			So(b.place.isTimeUnknown.Load(), ShouldBeFalse)
		})
		Convey("waits for a silent adapter only for a limited time once another has answered, and also for an adapter that stores the time", func() {
			replies[0](&wire.TimeKept{}, nil)
			b.advance(limit)
			So(takeReplies[*wire.TellTime](b), ShouldNotBeEmpty)
			b.advance(queryTimeout - time.Millisecond)
			So(b.place.host.IsOwner(), ShouldBeFalse)
			b.advance(time.Millisecond)
			So(b.place.host.IsOwner(), ShouldBeTrue)
			So(b.place.isTimeUnknown.Load(), ShouldBeTrue)
		})
		Convey("waits longer if none has answered, but not forever", func() {
			b.advance(maxWait - time.Millisecond)
			So(takeReplies[*wire.TellTime](b), ShouldBeEmpty)
			b.advance(time.Millisecond)
			b.storeTime()
			So(b.place.host.IsOwner(), ShouldBeTrue)
		})
		Convey("queries an adapter again whose answer was lost", func() {
			replies[0](&wire.TimeKept{}, nil)
			replies[1](nil, errs.New(errs.Lost, "reset"))
			b.advance(redial - time.Millisecond)
			So(takeReplies[*wire.AskTime](b), ShouldBeEmpty)
			b.advance(time.Millisecond)
			So(b.place.host.IsOwner(), ShouldBeFalse)
			again := takeReplies[*wire.AskTime](b)
			So(again, ShouldHaveLength, 1)
			again[0](known, nil)
			So(b.place.now(), ShouldEqual, 9000)
		})
		Convey("does not wait for an adapter whose answer was lost and that is no longer a member", func() {
			replies[0](&wire.TimeKept{}, nil)
			replies[1](nil, errs.New(errs.Lost, "gone"))
			b.adapters = b.adapters[:1]
			b.advance(queryTimeout)
			b.storeTime()
			So(b.place.host.IsOwner(), ShouldBeTrue)
		})
		Convey("has an adapter store the time before it begins, and sends it again to slow adapters", func() {
			replies[0](known, nil)
			replies[1](&wire.TimeKept{}, nil)
			So(takeReplies[*wire.TellTime](b), ShouldHaveLength, 2)
			b.advance(limit - time.Millisecond)
			So(b.place.host.IsOwner(), ShouldBeFalse)
			So(b.proposed, ShouldBeEmpty)
			takeReplies[*wire.TellTime](b)[0](&wire.TimeTold{}, nil)
			So(b.place.host.IsOwner(), ShouldBeTrue)
		})
		Convey("queries adapters that become members meanwhile", func() {
			b.adapters = append(b.adapters, wire.Who{Name: "late", Boot: "late.1"})
			b.advance(queryTimeout)
			late := takeReplies[*wire.AskTime](b)
			So(late, ShouldHaveLength, 1)
			So(b.place.host.IsOwner(), ShouldBeFalse)
			late[0](known, nil)
			So(b.place.now(), ShouldEqual, 9000)
		})
		Convey("queries again if it was frozen before it got the answer, since the answer is old", func() {
			b.now += queryTimeout + time.Millisecond
			replies[0](known, nil)
			b.place.Tick(b.now)
			again := takeReplies[*wire.AskTime](b)
			So(again, ShouldHaveLength, 1)
			again[0](&wire.TimeKept{Term: 5, Reading: 9300}, nil)
			So(b.place.now(), ShouldEqual, 9300)
		})
		Convey("rejects readings of another ownership than that of its newest command", func() {
			replies[0](&wire.TimeKept{Term: 4, Reading: 20_000}, nil)
			replies[1](&wire.TimeKept{Term: 7, Reading: 20_000}, nil)
			So(b.place.host.IsOwner(), ShouldBeFalse)
			b.advance(queryTimeout)
			So(b.place.now(), ShouldEqual, 1000+queryTimeout.Milliseconds())
		})
		Convey("proposes, accepts and answers nothing before", func() {
			taken, looked := &wire.Taken{}, &wire.Sight{}
			b.place.Take(&wire.Take{Id: "0-y", Lane: "l", Deadline: 9}, func(reply any) { taken = reply.(*wire.Taken) })
			b.place.Look(&wire.Look{Id: "0-x"}, func(reply any) { looked = reply.(*wire.Sight) })
			settled := &wire.Taken{}
			b.place.Settle(&wire.Settle{Id: "0-z", Lane: "l"}, func(reply any) { settled = reply.(*wire.Taken) })
			b.advance(0)
			So([]string{taken.Kind, looked.Kind, settled.Kind}, ShouldResemble, []string{"not_owner", "not_owner", "not_owner"})
			So(b.proposed, ShouldBeEmpty)
		})
		Convey("stops the recovery if it loses its ownership", func() {
			b.loseOwnership()
			replies[0](known, nil)
			b.advance(limit)
			So(b.place.now(), ShouldEqual, 1000+limit.Milliseconds())
			So(takeReplies[*wire.TellTime](b), ShouldBeEmpty)
		})
	})
}
