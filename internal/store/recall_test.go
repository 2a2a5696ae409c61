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

// recalling returns a place with a message whose newest command is at 1,000 in term 5, just owned in term 7, with
// so many adapters as members.
func recalling(adapters int) *bench {
	b := newBench()
	b.dataTerm, b.term = 5, 7
	for i := range adapters {
		name := fmt.Sprint("a", i)
		b.adapters = append(b.adapters, wire.Who{Name: name, Boot: name + ".1"})
	}
	b.place.Owned(false)
	b.place.Apply(place.Command{Kind: place.CmdTake, Id: "0-x", Lane: "l", Deadline: 600_000, Delay: 9000, At: 1000}.Encode(), false)
	b.place.Owned(true)
	return b
}

// asked lists the answers to the asks for the time, or to words of it, and forgets them.
func asked[T any](b *bench) (out []func(any, error)) {
	for i, ask := range b.posted {
		if _, is := ask.(T); is {
			out = append(out, b.answers[i])
		}
	}
	b.posted, b.answers = nil, nil
	return out
}

// lose ends the ownership.
func (b *bench) lose() {
	b.isFollower = true
	b.place.Owned(false)
}

// keep has the first adapter that is told the time keep it.
func (b *bench) keep() { asked[*wire.TellTime](b)[0](&wire.TimeTold{}, nil) }

func (b *bench) pass(span time.Duration) {
	b.now += span
	b.place.Tick(b.now)
}

// TestRecallBeforeOwnership: a new owner once began at the newest command in its log, however long ago that was.
func TestRecallBeforeOwnership(t *testing.T) {
	listen, limit := timing.Default.Of(timing.Recall), timing.Default.Of(timing.RecallLimit)
	known := &wire.TimeKept{Term: 5, Reading: 9000}
	Convey("The owner of a place that holds nothing owns it at once", t, func() {
		b := newBench()
		So(b.place.host.IsOwner(), ShouldBeTrue)
	})
	Convey("The owner of one that holds a message", t, func() {
		b := recalling(2)
		asks := asked[*wire.AskTime](b)
		So(asks, ShouldHaveLength, 2)
		So(b.place.host.IsOwner(), ShouldBeFalse)
		Convey("goes on from what the first adapter tells that knows", func() {
			asks[1](known, nil)
			So(b.place.host.IsOwner(), ShouldBeFalse)
			b.keep()
			So(b.place.host.IsOwner(), ShouldBeTrue)
			So(b.place.now(), ShouldEqual, 9000)
			So(b.place.isUntimed.Load(), ShouldBeFalse)
			Convey("and from none that comes later", func() {
				asks[0](&wire.TimeKept{Term: 6, Reading: 20_000}, nil)
				So(b.place.now(), ShouldEqual, 9000)
			})
			Convey("so that a delay ends in time", func() {
				So(b.place.Ready(), ShouldBeEmpty)
				b.pass(time.Second)
				So(b.place.Ready(), ShouldResemble, map[string]int{"l": 1})
			})
		})
		Convey("goes on by itself where all have answered that they know nothing, once it has listened for a while", func() {
			asks[0](&wire.TimeKept{}, nil)
			asks[1](nil, errs.New(errs.Lost, "gone"))
			b.pass(listen - time.Millisecond)
			So(b.place.host.IsOwner(), ShouldBeFalse)
			b.pass(time.Millisecond)
			b.keep()
			So(b.place.host.IsOwner(), ShouldBeTrue)
			So(b.place.now(), ShouldEqual, 1000+listen.Milliseconds())
			told, _ := b.place.Story("0-x")
			So([]any{told.Untimed, told.TimeMs}, ShouldResemble, []any{true, 1000 + listen.Milliseconds()})
		})
		Convey("waits for an answer no longer than an adapter takes, nor for one that keeps the time", func() {
			asks[0](&wire.TimeKept{}, nil)
			b.pass(listen)
			b.pass(listen - time.Millisecond)
			So(b.place.host.IsOwner(), ShouldBeFalse)
			b.pass(time.Millisecond)
			So(b.place.host.IsOwner(), ShouldBeTrue)
		})
		Convey("asks those that become members meanwhile", func() {
			b.adapters = append(b.adapters, wire.Who{Name: "late", Boot: "late.1"})
			b.pass(listen)
			late := asked[*wire.AskTime](b)
			So(late, ShouldHaveLength, 1)
			So(b.place.host.IsOwner(), ShouldBeFalse)
			late[0](known, nil)
			So(b.place.now(), ShouldEqual, 9000)
		})
		Convey("asks again where it stood still before it had the answer, since that is old", func() {
			b.now += listen + time.Millisecond
			asks[0](known, nil)
			b.place.Tick(b.now)
			again := asked[*wire.AskTime](b)
			So(again, ShouldHaveLength, 1)
			again[0](&wire.TimeKept{Term: 5, Reading: 9300}, nil)
			So(b.place.now(), ShouldEqual, 9300)
		})
		Convey("does not count words of another ownership than that of its newest command", func() {
			asks[0](&wire.TimeKept{Term: 4, Reading: 20_000}, nil)
			asks[1](&wire.TimeKept{Term: 7, Reading: 20_000}, nil)
			So(b.place.host.IsOwner(), ShouldBeFalse)
			b.pass(listen)
			So(b.place.now(), ShouldEqual, 1000+listen.Milliseconds())
		})
		Convey("proposes, takes and answers nothing before", func() {
			taken, looked := &wire.Taken{}, &wire.Sight{}
			b.place.Take(&wire.Take{Id: "0-y", Lane: "l", Deadline: 9}, func(reply any) { taken = reply.(*wire.Taken) })
			b.place.Look(&wire.Look{Id: "0-x"}, func(reply any) { looked = reply.(*wire.Sight) })
			settled := &wire.Taken{}
			b.place.Settle(&wire.Settle{Id: "0-z", Lane: "l"}, func(reply any) { settled = reply.(*wire.Taken) })
			b.pass(0)
			So([]string{taken.Kind, looked.Kind, settled.Kind}, ShouldResemble, []string{"not_owner", "not_owner", "not_owner"})
			So(b.proposed, ShouldBeEmpty)
		})
		Convey("that has lost its ownership meanwhile does not go on with it", func() {
			b.lose()
			asks[0](known, nil)
			b.pass(limit)
			So(b.place.now(), ShouldEqual, 1000+limit.Milliseconds())
			So(asked[*wire.TellTime](b), ShouldBeEmpty)
		})
	})
	Convey("An owner that knows of no adapter waits for some, but not for ever", t, func() {
		b := recalling(0)
		b.pass(limit - time.Millisecond)
		So(b.place.host.IsOwner(), ShouldBeFalse)
		b.pass(time.Millisecond)
		So(b.place.host.IsOwner(), ShouldBeTrue)
	})
	Convey("Adapters of an older build are not waited for", t, func() {
		b := recalling(0)
		b.isRefusing, b.adapters = true, []wire.Who{{Name: "old", Boot: "old.1"}}
		b.pass(listen)
		So(b.place.host.IsOwner(), ShouldBeTrue)
	})
	Convey("An owner whose view is stale waits for a fresh one, since it may name more adapters", t, func() {
		b := recalling(1)
		asked[*wire.AskTime](b)[0](&wire.TimeKept{}, nil)
		b.fresh = []bool{false}
		b.pass(listen)
		So(asked[*wire.TellTime](b), ShouldBeEmpty)
		b.pass(time.Millisecond)
		b.keep()
		So(b.place.host.IsOwner(), ShouldBeTrue)
	})
}

// TestTimeIsTold: an owner tells its time to adapters once in their lives, and to no more than a few.
func TestTimeIsTold(t *testing.T) {
	span := timing.Default.Of(timing.TimeMark)
	Convey("An owner tells its place's time", t, func() {
		b := recalling(mostKeepers + 3)
		asks := asked[*wire.AskTime](b)
		asks[0](&wire.TimeKept{Term: 5, Reading: 9000}, nil)
		told := asked[*wire.TellTime](b)
		So(told, ShouldHaveLength, mostKeepers)
		So(b.proposed, ShouldBeEmpty)
		for _, answer := range told[1:] {
			answer(&wire.TimeTold{}, nil)
		}
		Convey("again to those that have not said that they keep it", func() {
			b.pass(span / 2)
			So(asked[*wire.TellTime](b), ShouldBeEmpty)
			b.pass(span)
			again := asked[*wire.TellTime](b)
			So(again, ShouldHaveLength, 1)
			again[0](&wire.TimeTold{}, nil)
			b.pass(span)
			So(asked[*wire.TellTime](b), ShouldBeEmpty)
		})
		Convey("to another life of one", func() {
			told[0](&wire.TimeTold{}, nil)
			for i := range b.adapters {
				b.adapters[i].Boot += "+"
			}
			b.pass(span)
			So(asked[*wire.TellTime](b), ShouldHaveLength, mostKeepers)
		})
		Convey("and again as the owner in another term", func() {
			b.lose()
			b.pass(span)
			So(asked[*wire.TellTime](b), ShouldBeEmpty)
			b.isFollower = false
			b.place.Owned(true)
			asked[*wire.AskTime](b)[0](&wire.TimeKept{Term: 5, Reading: 9000}, nil)
			So(asked[*wire.TellTime](b), ShouldHaveLength, mostKeepers)
		})
	})
}
