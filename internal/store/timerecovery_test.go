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

// recoveringHarness returns a place with a message whose newest command is at 1,000 in term 5, just owned in term 7, with
// so many adapters as members.
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

// asked lists the answers to the asks for the time, or to words of it, and forgets them.
func takeReplies[T any](b *harness) (out []func(any, error)) {
	for i, ask := range b.posted {
		if _, is := ask.(T); is {
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

// storeTime has the first adapter that is told the time keep it.
func (b *harness) storeTime() { takeReplies[*wire.TellTime](b)[0](&wire.TimeTold{}, nil) }

func (b *harness) advance(span time.Duration) {
	b.now += span
	b.place.Tick(b.now)
}

// TestRecallBeforeOwnership: a new owner once began at the newest command in its log, however long ago that was.
func TestRecallBeforeOwnership(t *testing.T) {
	redial := timing.Default.Of(timing.RedialDelay)
	rest, listen := timing.Default.Of(timing.TimeQueryGrace), timing.Default.Of(timing.TimeQueryTimeout)
	limit, alone := timing.Default.Of(timing.TimeRecoveryTimeout), timing.Default.Of(timing.TimeRecoveryMaxWait)
	known := &wire.TimeKept{Term: 5, Reading: 9000}
	Convey("The owner of a place that holds nothing owns it at once", t, func() {
		b := newHarness()
		So(b.place.host.IsOwner(), ShouldBeTrue)
	})
	Convey("The owner of one that holds a message", t, func() {
		b := recoveringHarness(2)
		asks := takeReplies[*wire.AskTime](b)
		So(asks, ShouldHaveLength, 2)
		So(b.place.host.IsOwner(), ShouldBeFalse)
		Convey("goes on from what an adapter tells that knows, and waits for others only shortly", func() {
			asks[1](known, nil)
			b.advance(rest - time.Millisecond)
			So(takeReplies[*wire.TellTime](b), ShouldBeEmpty)
			b.advance(time.Millisecond)
			So(b.place.host.IsOwner(), ShouldBeFalse)
			b.storeTime()
			So(b.place.host.IsOwner(), ShouldBeTrue)
			So(b.place.now(), ShouldEqual, 9000+rest.Milliseconds())
			So(b.place.isTimeUnknown.Load(), ShouldBeFalse)
			Convey("and from none that comes later", func() {
				asks[0](&wire.TimeKept{Term: 6, Reading: 20_000}, nil)
				So(b.place.now(), ShouldEqual, 9000+rest.Milliseconds())
			})
			Convey("so that a delay ends in time", func() {
				So(b.place.Ready(), ShouldBeEmpty)
				b.advance(time.Second)
				So(b.place.Ready(), ShouldResemble, map[string]int{"l": 1})
			})
		})
		Convey("goes on from the farthest of several words, since an adapter that stood still as it was told is behind", func() {
			asks[1](known, nil)
			asks[0](&wire.TimeKept{Term: 5, Reading: 11_000}, nil)
			b.storeTime()
			So(b.place.host.IsOwner(), ShouldBeTrue)
			So(b.place.now(), ShouldEqual, 11_000)
		})
		Convey("does not wait for one whose answer was lost, once it knows", func() {
			asks[0](nil, errs.New(errs.Lost, "gone"))
			asks[1](known, nil)
			b.storeTime()
			So(b.place.now(), ShouldEqual, 9000)
		})
		Convey("goes on by itself where all have answered that they know nothing, once it has listened for a while", func() {
			asks[0](&wire.TimeKept{}, nil)
			asks[1](&wire.TimeKept{}, nil)
			b.advance(listen - time.Millisecond)
			So(b.place.host.IsOwner(), ShouldBeFalse)
			b.advance(time.Millisecond)
			b.storeTime()
			So(b.place.host.IsOwner(), ShouldBeTrue)
			So(b.place.now(), ShouldEqual, 1000+listen.Milliseconds())
			told, _ := b.place.MessageStatus("0-x")
			So([]any{told.IsTimeUnknown, told.TimeMs}, ShouldResemble, []any{true, 1000 + listen.Milliseconds()})
		})
		Convey("waits for an adapter that is slow to answer", func() {
			asks[0](&wire.TimeKept{}, nil)
			b.advance(limit - time.Millisecond)
			So(b.place.host.IsOwner(), ShouldBeFalse)
			asks[1](known, nil) // it may be from long ago
			b.advance(0)
			again := takeReplies[*wire.AskTime](b)
			So(again, ShouldHaveLength, 1)
			again[0](&wire.TimeKept{Term: 5, Reading: 9100}, nil)
			So(b.place.now(), ShouldEqual, 9100)
			b.storeTime()
			So(b.place.host.IsOwner(), ShouldBeTrue)
			So(b.place.isTimeUnknown.Load(), ShouldBeFalse)
		})
		Convey("goes on from an old word where no newer one comes", func() {
			b.advance(listen + time.Millisecond)
			asks[1](known, nil)
			b.advance(limit)
			So(b.place.now(), ShouldEqual, 9000+limit.Milliseconds())
			b.storeTime()
			So(b.place.host.IsOwner(), ShouldBeTrue)
			So(b.place.isTimeUnknown.Load(), ShouldBeFalse)
		})
		Convey("waits for an answer no longer than a while where another has answered, nor for one that keeps the time", func() {
			asks[0](&wire.TimeKept{}, nil)
			b.advance(limit)
			So(takeReplies[*wire.TellTime](b), ShouldNotBeEmpty)
			b.advance(listen - time.Millisecond)
			So(b.place.host.IsOwner(), ShouldBeFalse)
			b.advance(time.Millisecond)
			So(b.place.host.IsOwner(), ShouldBeTrue)
			So(b.place.isTimeUnknown.Load(), ShouldBeTrue)
		})
		Convey("waits for longer where none has answered, but not for ever", func() {
			b.advance(alone - time.Millisecond)
			So(takeReplies[*wire.TellTime](b), ShouldBeEmpty)
			b.advance(time.Millisecond)
			b.storeTime()
			So(b.place.host.IsOwner(), ShouldBeTrue)
		})
		Convey("asks an adapter again whose answer was lost", func() {
			asks[0](&wire.TimeKept{}, nil)
			asks[1](nil, errs.New(errs.Lost, "reset"))
			b.advance(redial - time.Millisecond)
			So(takeReplies[*wire.AskTime](b), ShouldBeEmpty)
			b.advance(time.Millisecond)
			So(b.place.host.IsOwner(), ShouldBeFalse)
			again := takeReplies[*wire.AskTime](b)
			So(again, ShouldHaveLength, 1)
			again[0](known, nil)
			So(b.place.now(), ShouldEqual, 9000)
		})
		Convey("waits no more for one whose answer was lost and that is no member any more", func() {
			asks[0](&wire.TimeKept{}, nil)
			asks[1](nil, errs.New(errs.Lost, "gone"))
			b.adapters = b.adapters[:1]
			b.advance(listen)
			b.storeTime()
			So(b.place.host.IsOwner(), ShouldBeTrue)
		})
		Convey("has an adapter keep what it knows before it begins, and tells those again that are slow", func() {
			asks[0](known, nil)
			asks[1](&wire.TimeKept{}, nil)
			So(takeReplies[*wire.TellTime](b), ShouldHaveLength, 2)
			b.advance(limit - time.Millisecond)
			So(b.place.host.IsOwner(), ShouldBeFalse)
			So(b.proposed, ShouldBeEmpty)
			takeReplies[*wire.TellTime](b)[0](&wire.TimeTold{}, nil)
			So(b.place.host.IsOwner(), ShouldBeTrue)
		})
		Convey("asks those that become members meanwhile", func() {
			b.adapters = append(b.adapters, wire.Who{Name: "late", Boot: "late.1"})
			b.advance(listen)
			late := takeReplies[*wire.AskTime](b)
			So(late, ShouldHaveLength, 1)
			So(b.place.host.IsOwner(), ShouldBeFalse)
			late[0](known, nil)
			So(b.place.now(), ShouldEqual, 9000)
		})
		Convey("asks again where it stood still before it had the answer, since that is old", func() {
			b.now += listen + time.Millisecond
			asks[0](known, nil)
			b.place.Tick(b.now)
			again := takeReplies[*wire.AskTime](b)
			So(again, ShouldHaveLength, 1)
			again[0](&wire.TimeKept{Term: 5, Reading: 9300}, nil)
			So(b.place.now(), ShouldEqual, 9300)
		})
		Convey("does not count words of another ownership than that of its newest command", func() {
			asks[0](&wire.TimeKept{Term: 4, Reading: 20_000}, nil)
			asks[1](&wire.TimeKept{Term: 7, Reading: 20_000}, nil)
			So(b.place.host.IsOwner(), ShouldBeFalse)
			b.advance(listen)
			So(b.place.now(), ShouldEqual, 1000+listen.Milliseconds())
		})
		Convey("proposes, takes and answers nothing before", func() {
			taken, looked := &wire.Taken{}, &wire.Sight{}
			b.place.Take(&wire.Take{Id: "0-y", Lane: "l", Deadline: 9}, func(reply any) { taken = reply.(*wire.Taken) })
			b.place.Look(&wire.Look{Id: "0-x"}, func(reply any) { looked = reply.(*wire.Sight) })
			settled := &wire.Taken{}
			b.place.Settle(&wire.Settle{Id: "0-z", Lane: "l"}, func(reply any) { settled = reply.(*wire.Taken) })
			b.advance(0)
			So([]string{taken.Kind, looked.Kind, settled.Kind}, ShouldResemble, []string{"not_owner", "not_owner", "not_owner"})
			So(b.proposed, ShouldBeEmpty)
		})
		Convey("that has lost its ownership meanwhile does not go on with it", func() {
			b.loseOwnership()
			asks[0](known, nil)
			b.advance(limit)
			So(b.place.now(), ShouldEqual, 1000+limit.Milliseconds())
			So(takeReplies[*wire.TellTime](b), ShouldBeEmpty)
		})
	})
}
