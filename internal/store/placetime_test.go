package store

import (
	"fmt"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"caperwheel/internal/place"
	"caperwheel/internal/timing"
	"caperwheel/internal/wire"
)

// TestPlaceTime guards against place time standing still while commands are committed, which made delays a quarter too
// long on a busy place.
func TestPlaceTime(t *testing.T) {
	Convey("Place time advances while commands are committed", t, func() {
		b := newHarness()
		began := b.place.now()
		for i := range 100 {
			b.place.Take(&wire.Take{Id: fmt.Sprintf("0-%d", i), Lane: "l", Deadline: 600_000}, func(any) {})
			b.now += 10 * time.Millisecond
			b.commit(true)
		}
		So(b.place.now()-began, ShouldEqual, 1000)
	})
	Convey("It does not jump on a store that ran for long before it held the place", t, func() {
		b := newHarness()
		b.now = time.Minute
		p := NewPlaceHost(b, 0)
		p.Apply(place.Command{Kind: place.CmdTrim, At: 100}.Encode(), false)
		So(p.now(), ShouldEqual, 100)
	})
	Convey("It never goes back with a command of this ownership", t, func() {
		b := newHarness()
		b.now += time.Second
		b.place.Apply(place.Command{Kind: place.CmdTrim, At: 5}.Encode(), true)
		So(b.place.now(), ShouldEqual, 1000)
	})
	Convey("It advances from when the log received a command, even if the command is applied later", t, func() {
		b := newHarness()
		b.appendedAgo = 2 * time.Second
		b.place.Apply(place.Command{Kind: place.CmdTrim, At: 5000}.Encode(), false)
		So(b.place.now(), ShouldEqual, 7000)
	})
	Convey("A replica follows the command of another owner, whether that is ahead of its own time or behind", t, func() {
		b := newHarness()
		b.now += time.Second
		b.place.Apply(place.Command{Kind: place.CmdTrim, At: 90_000}.Encode(), false)
		So(b.place.now(), ShouldEqual, 90_000)
		b.now += time.Second
		b.place.Apply(place.Command{Kind: place.CmdTrim, At: 90_005}.Encode(), false)
		So(b.place.now(), ShouldEqual, 90_005)
	})
}

// proposalLog records what was proposed to a group, and commits nothing.
type proposalLog struct {
	*harness
	list [][]byte
}

func (c *proposalLog) Propose(data []byte, _ func(any, error)) { c.list = append(c.list, data) }

// newReplica returns a place on a store of its own.
func newReplica() (*PlaceHost, *proposalLog) {
	b := newHarness()
	group := &proposalLog{harness: b}
	replica := NewPlaceHost(b, 0)
	replica.Attach(group)
	return replica, group
}

// TestDelayAcrossOwners guards against a delay that ends early. A store that was partitioned keeps advancing its own
// time, while an owner that is behind it accepts a message with a delay. When the first store becomes the owner, the
// delay must not count as over.
func TestDelayAcrossOwners(t *testing.T) {
	Convey("Given a place at 1,000, and a store that has advanced by ten seconds while partitioned", t, func() {
		behind, behindGroup := newReplica()
		ahead, aheadGroup := newReplica()
		mark := place.Command{Kind: place.CmdTrim, At: 1000}.Encode()
		behind.Apply(mark, false)
		ahead.Apply(mark, false)
		aheadGroup.now += 10 * time.Second
		Convey("a delay that begins under the other owner ends no earlier under it", func() {
			takeOwnership(behind)
			behind.Take(&wire.Take{Id: "0-x", Lane: "l", Deadline: 600_000, Delay: 5000}, func(any) {})
			behind.Apply(behindGroup.list[0], true)
			ahead.Apply(behindGroup.list[0], false)
			takeOwnership(ahead)
			So(ahead.Ready(), ShouldBeEmpty)
			aheadGroup.now += 4990 * time.Millisecond
			ahead.publishReady()
			So(ahead.Ready(), ShouldBeEmpty)
			aheadGroup.now += 10 * time.Millisecond
			ahead.publishReady()
			So(ahead.Ready(), ShouldResemble, map[string]int{"l": 1})
		})
		Convey("a patience that begins under the other owner ends no earlier under it", func() {
			takeOwnership(behind)
			behind.Take(&wire.Take{Id: "0-x", Lane: "l", Deadline: 5000}, func(any) {})
			behind.Apply(behindGroup.list[0], true)
			ahead.Apply(behindGroup.list[0], false)
			takeOwnership(ahead)
			So(ahead.machine.TakeExpired(ahead.now()), ShouldBeEmpty)
		})
	})
}

// TestTimeMarks checks that an owner commits its time at intervals while a delay runs, because a new owner that has
// only its log begins at the newest command.
func TestTimeMarks(t *testing.T) {
	Convey("Given an owner", t, func() {
		owner, group := newReplica()
		takeOwnership(owner)
		span := timing.Default.Of(timing.TimeCommitInterval)
		quiet := func() []place.Command {
			group.list = nil
			out := []place.Command{}
			for end := group.now + 10*span; group.now < end; group.now += timing.Default.Of(timing.Tick) {
				owner.Tick(group.now)
				for _, data := range group.list {
					c, err := place.Decode(data)
					So(err, ShouldBeNil)
					owner.Apply(data, true)
					out = append(out, c)
				}
				group.list = nil
			}
			return out
		}
		Convey("without messages it commits nothing", func() { So(quiet(), ShouldBeEmpty) })
		Convey("with a waiting message it commits the time, no more often than needed", func() {
			owner.Take(&wire.Take{Id: "0-x", Lane: "l", Deadline: 600_000, Delay: 500_000}, func(any) {})
			owner.Apply(group.list[0], true)
			marks := quiet()
			So(len(marks), ShouldBeBetweenOrEqual, 8, 10)
			last := int64(0)
			for _, m := range marks {
				So(m.At-last, ShouldBeBetweenOrEqual, 0, (span + 2*timing.Default.Of(timing.Tick)).Milliseconds())
				last = m.At
			}
			So(owner.machine.Find("0-x").State, ShouldEqual, place.Held)
		})
	})
}

// takeOwnership begins an ownership of a place whose time no adapter knows.
func takeOwnership(p *PlaceHost) {
	p.OwnershipChanged(true)
	p.stepTimeRecovery(p.environment.Now() + timing.Default.Of(timing.TimeRecoveryMaxWait))
}
