package deliver

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"caperwheel/internal/config"
	"caperwheel/internal/daemon"
	"caperwheel/internal/feed"
	"caperwheel/internal/timing"
	"caperwheel/internal/wire"
)

// The grid of times on which the move of a duty is explored. A bound has stepsPerBound steps; updates are up to
// maxUpdateAge steps old when they arrive.
const (
	stepsPerBound = 8
	movedAt       = stepsPerBound     // when the duty moves
	lastStep      = 4 * stepsPerBound // end of the exploration
	maxUpdateAge  = 4
)

// step is the length of a step.
const step = 3 * time.Second / stepsPerBound

// dutyHolder is an adapter whose clock and updates the test controls.
type dutyHolder struct {
	*Adapter
	clock atomic.Int64
}

// newDutyHolder returns an adapter without an update.
func newDutyHolder(name string) *dutyHolder {
	h := &dutyHolder{}
	view := feed.NewView(0)
	d := &daemon.Daemon{Bounds: timing.Default, View: view, Who: wire.Who{Name: name, Boot: "1", Zone: "c"},
		Clock: func() time.Duration { return time.Duration(h.clock.Load()) }}
	d.Settings.MaxInFlight = 9
	h.Adapter = NewWithEnvironment(d, &config.Cache{View: view}, DefaultCodec, daemonEnvironment(context.Background(), d))
	return h
}

// receiveUpdate gives the adapter a view that was confirmed age steps ago, with the duty as it was then.
func (h *dutyHolder) receiveUpdate(now, age int) {
	changes := []wire.Change{
		{Key: config.DocumentKey, Revision: 1, Value: []byte(`{"pools":{"p":{"rate":1000,"ease":"0s"}},"lanes":{"l":{"pools":["p"]}}}`)},
		{Key: config.WorkersKey + "p", Revision: 2, Value: []byte(`{"workers":[{"name":"w","address":"127.0.0.1:1","cell":"c"}]}`)},
		{Key: config.DutyKey + "p/w", Revision: 3, Value: config.Duty{Holder: "a", Boot: "1"}.Encode()}}
	if now-age >= movedAt {
		changes = append(changes, wire.Change{Key: config.DutyKey + "p/w", Revision: 4,
			Value: config.Duty{Holder: "b", Boot: "1", PreviousBoot: "1"}.Encode()})
	}
	h.d.View.Update([]wire.PartNews{{To: changes[len(changes)-1].Revision, Changes: changes}}, time.Duration(now-age)*step)
}

// grantsSlot reports whether the adapter grants a slot now.
func (h *dutyHolder) grantsSlot(now int) bool {
	h.clock.Store(int64(time.Duration(now) * step))
	grant := &wire.Grant{}
	h.slots.requestSlot(&wire.Want{Pool: "p", Worker: "w"}, func(reply any) { grant = reply.(*wire.Grant) })
	if grant.Kind != "" {
		return false
	}
	if p, err := h.slots.redeem(grant.Permit, "p/w"); err == nil {
		p.held.worker.Release(0)
	}
	return true
}

// actsUntil returns the last step at which the old holder grants slots, if its last update arrives at updatedAt and is
// age steps old; -1 for never.
func actsUntil(updatedAt, age int) (last int) {
	h, last := newDutyHolder("a"), -1
	for now := range updatedAt + 1 { // at every step: a rate share counts one fence after its duty was first seen
		h.receiveUpdate(now, min(age, now))
		h.grantsSlot(now)
	}
	for now := updatedAt; now <= lastStep; now++ {
		if h.grantsSlot(now) {
			last = now
		}
	}
	return last
}

// actsFrom returns the first step at which the new holder grants slots, if its first update arrives at updatedAt and is
// age steps old; -1 for never.
func actsFrom(updatedAt, age int) int {
	h := newDutyHolder("b")
	for now := updatedAt; now <= lastStep; now++ {
		h.receiveUpdate(now, min(age, now-movedAt))
		if h.grantsSlot(now) {
			return now
		}
	}
	return -1
}

// TestOneHolderAtATime explores on a grid every way in which updates of a moved duty may reach its two holders:
// whenever the old one was last updated and the new one first, and however old these updates were, the old one must
// have stopped before the new one begins.
func TestOneHolderAtATime(t *testing.T) {
	latest, earliest, acted := map[string]int{}, map[string]int{}, 0
	for age := range maxUpdateAge + 1 {
		for updatedAt := range lastStep {
			latest[fmt.Sprintf("updated last at %d, %d old", updatedAt, age)] = actsUntil(updatedAt, age)
			if updatedAt >= movedAt {
				first := actsFrom(updatedAt, age)
				if first >= 0 {
					earliest[fmt.Sprintf("updated first at %d, %d old", updatedAt, age)] = first
					acted++
				}
			}
		}
	}
	Convey("Of two holders of a duty with a rate limit", t, func() {
		Convey("the new one acts if it is updated in time", func() {
			So(acted, ShouldEqual, (lastStep-movedAt-stepsPerBound)*(maxUpdateAge+1)) // the fence takes a whole bound
		})
		Convey("the old one acts beyond the move if it was not updated", func() {
			So(latest["updated last at 7, 0 old"], ShouldBeGreaterThan, movedAt)
		})
		Convey("the old one has stopped before the new one begins", func() {
			for old, until := range latest {
				for fresh, from := range earliest {
					if until >= from {
						So(fmt.Sprintf("%s acts until %d; %s acts from %d", old, until, fresh, from), ShouldBeEmpty)
					}
				}
			}
		})
	})
}
