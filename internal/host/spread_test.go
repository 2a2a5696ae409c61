package host

import (
	"fmt"
	"slices"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"caperwheel/internal/group"
	"caperwheel/internal/repair"
	"caperwheel/internal/timing"
	"caperwheel/internal/wire"
)

// idleMachine is a state machine without state.
type idleMachine struct{}

func (idleMachine) Apply([]byte, bool) any { return nil }
func (idleMachine) Snapshot() []byte       { return []byte{} }
func (idleMachine) Restore([]byte) error   { return nil }
func (idleMachine) OwnershipChanged(bool)  {}
func (idleMachine) Tick(time.Duration)     {}

// syncDisk is a disk on which every write is durable immediately.
type syncDisk struct{}

func (syncDisk) Persist(_ int64, _ *group.DurableUpdate, then func(error)) { then(nil) }
func (syncDisk) AfterWrites(then func(error))                              { then(nil) }
func (syncDisk) SaveSlot(_ int64, _ group.HardState, _ *group.Snapshot, _ *group.DurableUpdate, then func(error)) {
	then(nil)
}

// cluster holds the replicas of one group on several stores, with one clock.
type cluster struct {
	now      time.Duration
	byName   map[string]*Host
	messages []wire.GroupMsg
}

// newCluster returns replicas on all stores, with the founders as the first roster and wanted as the
// planned one.
func newCluster(founders, all, wanted []string) *cluster {
	out, known, roster := &cluster{byName: map[string]*Host{}}, map[string]string{}, []string{}
	for _, name := range all {
		known[name] = name + "/0"
	}
	for _, name := range founders {
		roster = append(roster, known[name])
	}
	for i, name := range all {
		opts := Options{Id: 1, Self: known[name], Bounds: timing.Default, Seed: uint64(i), Disk: syncDisk{}, Machine: idleMachine{},
			Now: func() time.Duration { return out.now }, Send: func(m wire.GroupMsg) { out.messages = append(out.messages, m) },
			PlanRoster: func(repair.Silence) (map[string]string, []string) { return known, wanted }}
		if slices.Contains(founders, name) {
			opts.Roster = roster
		}
		h, err := New(opts)
		So(err, ShouldBeNil)
		out.byName[name] = h
	}
	return out
}

// tick advances the clock by one tick; all messages are delivered before the next.
func (c *cluster) tick() {
	c.now += timing.Default.Of(timing.Tick)
	for _, h := range c.byName {
		h.Tick()
	}
	for len(c.messages) > 0 {
		delivered := c.messages
		c.messages = nil
		for _, m := range delivered {
			if to := c.byName[group.Name(m.To)]; to != nil {
				to.Receive(m)
			}
		}
		for _, h := range c.byName {
			h.RunPending()
		}
	}
}

// voters returns the names of the voters in the owner's roster; none if there is no owner or a learner is
// left.
func (c *cluster) voters() []string {
	out := []string{}
	for _, h := range c.byName {
		if v := h.View(); v.Role == group.Owner && !slices.ContainsFunc(v.Roster, group.IsLearner) {
			for _, m := range v.Roster {
				out = append(out, group.Name(m))
			}
		}
	}
	slices.Sort(out)
	return out
}

// TestPaceOfSpread guards against a deployment of many stores, founded on a few, whose groups make one
// roster change per quarter of a bound: the few stores still held everything, and carried all traffic, when
// load arrived.
func TestPaceOfSpread(t *testing.T) {
	names := func(from, to int) []string {
		out := []string{}
		for i := from; i < to; i++ {
			out = append(out, fmt.Sprintf("s%02d", i))
		}
		return out
	}
	Convey("A group that is founded on five stores and planned on five others is moved within a bound of its first owner", t, func() {
		c, wanted := newCluster(names(0, 5), names(0, 10), names(5, 10)), names(5, 10)
		for len(c.voters()) == 0 && c.now < timing.Default.ConfigApply {
			c.tick()
		}
		owned := c.now
		for !slices.Equal(c.voters(), wanted) && c.now < owned+10*timing.Default.ConfigApply {
			c.tick()
		}
		So(c.voters(), ShouldResemble, wanted)
		So(c.now-owned, ShouldBeLessThan, timing.Default.ConfigApply)
	})
}
