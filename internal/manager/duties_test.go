package manager

import (
	"context"
	"strings"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"caperwheel/internal/config"
	"caperwheel/internal/errs"
	"caperwheel/internal/timing"
	"caperwheel/internal/wire"
)

// dutyFixture is a manager with listed workers, and with adapters to hold their duties.
type dutyFixture struct {
	*listFixture
	planner *dutyPlanner
}

func newDutyFixture(workers int) *dutyFixture {
	p := &dutyFixture{listFixture: newListFixture(workers, 0)}
	p.workers = manyWorkers(workers)
	p.advance(2 * time.Second)
	members := []wire.Member{{Who: p.m.d.Who}}
	for _, zone := range []string{"a", "b", "c"} {
		members = append(members, wire.Member{Who: wire.Who{Name: "adapter-" + zone, Kind: "adapter", Zone: zone, Boot: "1"}})
	}
	for _, name := range []string{"s1", "s2", "s3", "s4"} {
		members = append(members, wire.Member{Who: wire.Who{Name: name, Kind: "store", Zone: "a", Addr: name}})
	}
	p.m.d.Membership.Update("with adapters", members)
	p.planner = newDutyPlanner(p.m)
	return p
}

// dutyEdits returns the number of duty edits so far.
func (p *dutyFixture) dutyEdits() (count int) {
	for _, e := range p.f.edits {
		if strings.HasPrefix(e.Key, config.DutyKey) {
			count++
		}
	}
	return count
}

// runRound runs one planning round and returns the number of its duty edits.
func (p *dutyFixture) runRound() int {
	before := p.dutyEdits()
	p.planner.runRound(context.Background(), false)
	return p.dutyEdits() - before
}

// TestDutiesAreProposedOnce guards against a planner that plans again what its view does not show yet:
// many duties of a long list were written twice.
func TestDutiesAreProposedOnce(t *testing.T) {
	Convey("While the view lags,", t, func() {
		p := newDutyFixture(300)
		p.f.isViewFrozen = true
		Convey("each duty is proposed once", func() {
			So(p.runRound(), ShouldEqual, 301) // including the endpoint's duty
			So(p.runRound(), ShouldEqual, 0)
			p.f.isViewFrozen = false
			p.f.updateView()
			So(p.runRound(), ShouldEqual, 0)
			So(p.m.configs.Current().Duties["p"].Len(), ShouldEqual, 300)
			held := map[string]int{}
			for _, duty := range p.m.configs.Current().Duties["p"].All() {
				held[duty.Holder]++
			}
			So(held, ShouldResemble, map[string]int{"adapter-a": 100, "adapter-b": 100, "adapter-c": 100})
		})
		Convey("a duty whose proposal fails is proposed again in the next round", func() {
			p.f.refuseKind = errs.Conflict
			So(p.runRound(), ShouldEqual, 0)
			p.f.refuseKind = ""
			So(p.runRound(), ShouldEqual, 301)
		})
		Convey("a duty whose proposal has an unknown outcome is proposed again, without other changes, once a fresh view would show it", func() {
			So(p.runRound(), ShouldEqual, 301)
			So(p.runRound(), ShouldEqual, 0)
			p.now += p.m.d.Bounds.Of(timing.ViewAgeLimit)
			p.refreshView()
			So(p.runRound(), ShouldEqual, 301)
		})
	})
}
