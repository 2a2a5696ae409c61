package duty

import (
	"fmt"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"caperwheel/internal/config"
	"caperwheel/internal/wire"
)

// TestTogether checks that few adapters hold the duties of workers that share a rate, and that they keep
// them. Otherwise the rate would be divided into parts smaller than a single run.
func TestTogether(t *testing.T) {
	adapters := []wire.Who{}
	for i := range 12 {
		adapters = append(adapters, wire.Who{Name: fmt.Sprintf("a%02d", i), Boot: "1", Zone: string(rune('a' + i%3))})
	}
	workers := map[string]config.Worker{}
	for i := range 30 {
		workers[fmt.Sprint("w", i)] = config.Worker{Name: fmt.Sprint("w", i), Zone: string(rune('a' + i%3))}
	}
	// settle plans until nothing changes, and returns the duties and how many each adapter holds.
	settle := func(rate float64, duties map[string]config.AssignedDuty, here []wire.Who) (map[string]config.AssignedDuty, map[string]int) {
		for range 5 {
			state := compiled(workers, duties)
			state.Rules = &config.Rules{Pools: map[string]config.Pool{"p": {Rate: rate}}}
			plan := Plan("p", state, Adapters{Members: here}, func(string) (int64, bool) { return 7, true })
			next := map[string]config.AssignedDuty{}
			for name, held := range duties {
				next[name] = held
			}
			for _, change := range plan {
				next[change.Worker] = config.AssignedDuty{Duty: change.Next, Term: 7}
			}
			duties = next
			if len(plan) == 0 {
				break
			}
		}
		counts := map[string]int{}
		for _, held := range duties {
			counts[held.Holder]++
		}
		return duties, counts
	}
	Convey("The duties of a pool with a shared rate", t, func() {
		duties, counts := settle(5, nil, adapters)
		So(len(duties), ShouldEqual, 30)
		So(len(counts), ShouldEqual, 1)
		holder := duties["w0"].Holder
		others := []wire.Who{}
		for _, who := range adapters {
			if who.Name != holder {
				others = append(others, who)
			}
		}
		Convey("stay with their holder while it is a member, even if an adapter is added", func() {
			_, counts := settle(5, duties, append(adapters, wire.Who{Name: "a", Boot: "1", Zone: "a"}))
			So(counts[holder], ShouldEqual, 30)
		})
		Convey("go to one other adapter when the holder is gone", func() {
			_, counts := settle(5, duties, others)
			So(len(counts), ShouldEqual, 1)
			So(counts[holder], ShouldEqual, 0)
		})
		Convey("are moved to one holder if many adapters hold them", func() {
			spread, counts := settle(0, nil, adapters)
			So(len(counts), ShouldBeGreaterThan, 9)
			_, counts = settle(5, spread, adapters)
			So(len(counts), ShouldEqual, 1)
		})
		Convey("have more holders if the rate is high", func() {
			_, counts := settle(5*holderRunsPerSecondLimit, nil, adapters)
			So(len(counts), ShouldBeBetweenOrEqual, 2, 5)
		})
	})
}
