package duty

import (
	"fmt"
	"testing"

	"caperwheel/internal/config"
	"caperwheel/internal/wire"
)

// BenchmarkPlan measures the plan of a pool in which nothing is to move, by the number of workers.
func BenchmarkPlan(b *testing.B) {
	for _, count := range []int{1000, 10_000, 100_000} {
		b.Run(fmt.Sprint(count), func(b *testing.B) {
			workers, duties := map[string]config.Worker{}, map[string]config.AssignedDuty{}
			for i := range count {
				workers[fmt.Sprint("w", i)], duties[fmt.Sprint("w", i)] = config.Worker{Zone: "a"}, held("a1", "1")
			}
			now, here := compiled(workers, duties), Adapters{Members: []wire.Who{{Name: "a1", Boot: "1", Zone: "a"}}}
			for b.Loop() {
				if len(Plan("p", now, here, func(string) (int64, bool) { return 1, true })) > 0 {
					b.Fatal("Plan returned changes although every holder is in place")
				}
			}
		})
	}
}
