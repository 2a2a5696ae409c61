package config

import (
	"fmt"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"caperwheel/internal/feed"
	"caperwheel/internal/wire"
)

// TestRulesLeaveListsAlone guards against every daemon rebuilding a pool's whole list after a change of the
// configuration that does not affect the list.
func TestRulesLeaveListsAlone(t *testing.T) {
	Convey("Given a list of workers and rules", t, func() {
		part, view := feed.NewPart(), feed.NewView(0)
		cache := &Cache{View: view}
		now := func(rules string) Table[Worker] {
			part.Apply(wire.Edit{Key: DocumentKey, Value: []byte(rules), IfRevision: -1})
			news, _ := part.News(0, view.Revision(0))
			view.Update([]wire.PartNews{news}, 0)
			return cache.Current().Workers["p"]
		}
		list := Workers{Workers: []Worker{{Name: "w", Address: "127.0.0.1:80", State: "live"}}}
		part.Apply(wire.Edit{Key: BucketKey("p", 0, 1), Value: list.Encode(), IfRevision: -1})
		before := now(`{"pools":{"p":{}}}`)
		So(before.Len(), ShouldEqual, 1)
		same := func(t Table[Worker]) bool { return t.Len() == 1 && &t.shards[0][0] == &before.shards[0][0] }
		Convey("a change of the tenants leaves the list as it is", func() { So(same(now(`{"pools":{"p":{}},"tenants":{"a":{}}}`)), ShouldBeTrue) })
		Convey("so does a change of the pool's rate", func() { So(same(now(`{"pools":{"p":{"rate":5}}}`)), ShouldBeTrue) })
		Convey("so does the removal of the pool", func() { So(same(now(`{}`)), ShouldBeTrue) })
		Convey("a pool that becomes an endpoint, changes its address and becomes one of workers again has the right list each time", func() {
			addresses := []string{}
			for _, address := range []string{"127.0.0.1:1", "127.0.0.1:2"} {
				w, _ := now(`{"pools":{"p":{"kind":"endpoint","address":"` + address + `"}}}`).Get(EndpointWorker)
				addresses = append(addresses, w.Address)
			}
			So(addresses, ShouldResemble, []string{"127.0.0.1:1", "127.0.0.1:2"})
			So(now(`{"pools":{"p":{}}}`), ShouldResemble, before)
		})
	})
}

// BenchmarkKeyRotation measures the cost of a change of tenants for a daemon with long worker lists.
func BenchmarkKeyRotation(b *testing.B) {
	for _, workers := range []int{200, 10_000, 100_000} {
		b.Run(fmt.Sprint(workers), func(b *testing.B) {
			part, view, docs := feed.NewPart(), feed.NewView(0), [][]byte{manyTenants(83, 2), manyTenants(83, 1)}
			cache, count := &Cache{View: view}, BucketCount(workers, 0)
			take := func(e wire.Edit) {
				e.IfRevision = -1
				part.Apply(e)
				news, _ := part.News(0, view.Revision(0))
				view.Update([]wire.PartNews{news}, 0)
				cache.Current()
			}
			take(wire.Edit{Key: DocumentKey, Value: docs[0]})
			lists := make([]Workers, count)
			for i := range workers {
				w := Worker{Name: fmt.Sprint("i-", i), Address: "127.0.0.1:80", Zone: "a", State: "live"}
				bucket := BucketOf(w.Name, count)
				lists[bucket].Workers = append(lists[bucket].Workers, w)
			}
			for bucket, list := range lists {
				take(wire.Edit{Key: BucketKey("p", bucket, count), Value: list.Encode()})
			}
			for i := 0; b.Loop(); i++ {
				take(wire.Edit{Key: DocumentKey, Value: docs[i%2]})
			}
		})
	}
}
