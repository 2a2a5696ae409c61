package config

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

// TestTable compares a table with a map after random changes: it has the same entries, equals a table that
// is built at once, and earlier tables never change.
func TestTable(t *testing.T) {
	Convey("After each change a table has the entries of a map with the same changes", t, func() {
		for seed := uint64(1); seed <= 10; seed++ {
			r, table, want := rand.New(rand.NewPCG(seed, 11)), Table[int]{}, map[string]int{}
			grows := true
			type kept struct {
				table Table[int]
				want  map[string]int
			}
			all := []kept{}
			for step := range 400 {
				grows = grows && len(want) < 1500 || len(want) < 20
				change := table.builder()
				for range 1 + r.IntN(30) {
					name := fmt.Sprint("n", r.IntN(2000))
					if grows == (r.IntN(8) > 0) {
						change.set(name, step)
						want[name] = step
					} else {
						change.remove(name)
						delete(want, name)
					}
				}
				table = change.build()
				all = append(all, kept{table, maps.Clone(want)})
			}
			for _, k := range all {
				So(maps.Collect(k.table.All()), ShouldResemble, k.want)
				So(k.table, ShouldResemble, TableOf(k.want))
				So(k.table.Len(), ShouldEqual, len(k.want))
				So(k.table.Names(), ShouldResemble, append([]string{}, slices.Sorted(maps.Keys(k.want))...))
			}
			_, isThere := table.Get("nobody")
			So(isThere, ShouldBeFalse)
			for name, value := range want {
				got, isThere := table.Get(name)
				So([]any{got, isThere}, ShouldResemble, []any{value, true})
			}
		}
	})
	Convey("A change of one of many names copies one shard", t, func() {
		rows := map[string]int{}
		for i := range 10_000 {
			rows[fmt.Sprint("n", i)] = i
		}
		before := TableOf(rows)
		change := before.builder()
		change.set("n77", -1)
		after, copied := change.build(), 0
		for i := range after.shards {
			if &after.shards[i][0] != &before.shards[i][0] {
				copied++
			}
		}
		So(copied, ShouldEqual, 1)
		So(len(after.shards), ShouldBeGreaterThan, 50)
	})
}

// BenchmarkChange measures one change of a worker list, by the list's length.
func BenchmarkChange(b *testing.B) {
	for _, size := range []int{100, 10_000, 100_000} {
		rows := map[string]Worker{}
		for i := range size {
			rows[fmt.Sprint("n", i)] = Worker{Name: fmt.Sprint("n", i)}
		}
		table := TableOf(rows)
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			for i := range b.N {
				change := table.builder()
				change.set(fmt.Sprint("n", i%size), Worker{Name: "x"})
				table = change.build()
			}
		})
	}
}
