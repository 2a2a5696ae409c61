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

// dutyFixture is a manager with workers on its lists and adapters to hold their duties.
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

// dutyEdits counts the edits of duties so far.
func (p *dutyFixture) dutyEdits() (count int) {
	for _, e := range p.f.edits {
		if strings.HasPrefix(e.Key, config.DutyKey) {
			count++
		}
	}
	return count
}

func (p *dutyFixture) runRound() int {
	before := p.dutyEdits()
	p.planner.runRound(context.Background(), false)
	return p.dutyEdits() - before
}

// TestDutiesAreProposedOnce: a planner once planned again what its view did not show yet, so of a long list
// many duties were written twice.
func TestDutiesAreProposedOnce(t *testing.T) {
	Convey("While the view lags behind,", t, func() {
		p := newDutyFixture(300)
		p.f.isViewFrozen = true
		Convey("each duty is proposed once", func() {
			So(p.runRound(), ShouldEqual, 301) // with the endpoint's
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
		Convey("one that does not hold is proposed again in the next turn", func() {
			p.f.refuseKind = errs.Conflict
			So(p.runRound(), ShouldEqual, 0)
			p.f.refuseKind = ""
			So(p.runRound(), ShouldEqual, 301)
		})
		Convey("what became of it is not known: it is proposed again, though nothing else changes, once a fresh view would show it", func() {
			So(p.runRound(), ShouldEqual, 301)
			So(p.runRound(), ShouldEqual, 0)
			p.now += p.m.d.Bounds.Of(timing.ViewAgeLimit)
			p.refreshView()
			So(p.runRound(), ShouldEqual, 301)
		})
	})
}
