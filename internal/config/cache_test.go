package config

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"caperwheel/internal/feed"
	"caperwheel/internal/wire"
)

// randomChange returns a random edit of one of the kinds that are compiled.
func randomChange(r *rand.Rand) wire.Edit {
	pool, zone := fmt.Sprint("p", r.IntN(3)), fmt.Sprint("z", r.IntN(3))
	workers := Workers{Workers: []Worker{}}
	for i := range 1 + r.IntN(4) {
		workers.Workers = append(workers.Workers, Worker{Name: fmt.Sprint("w", r.IntN(3), i), Address: "127.0.0.1:80", Zone: zone,
			State: []string{"live", "leaving"}[r.IntN(2)], IsCold: r.IntN(4) == 0})
	}
	e := wire.Edit{IfRevision: -1, Gone: r.IntN(4) == 0}
	switch r.IntN(8) {
	case 0:
		e.Key, e.Value, e.Gone = DocumentKey, []byte(`{"pools":{"p0":{},"p1":{"kind":"endpoint","address":"127.0.0.1:9"}}}`), false
	case 1:
		e.Key, e.Value, e.Gone = DocumentKey, []byte([]string{`{"pools":{"p1":{},"p2":{}}}`, `{"a later build":1}`}[r.IntN(2)]), false
	case 2:
		e.Key, e.Value = ZoneKey+zone, DrainOrder{Only: []string{"", OnlyWorkers, OnlyCold}[r.IntN(3)]}.Encode()
	case 3:
		e.Key, e.Value = StoreKey+zone, []byte("{}")
	case 4:
		e.Key, e.Value = []string{WeightKey, ShareKey}[r.IntN(2)]+pool, []byte([]string{`{}`, `{"p1":2}`, `no`}[r.IntN(3)])
	case 5, 6:
		count := 1 << r.IntN(3)
		e.Key, e.Value = BucketKey(pool, r.IntN(count), count), workers.Encode()
	default:
		e.Key, e.Value = DutyKey+pool+"/w"+fmt.Sprint(r.IntN(4)), Duty{Holder: zone, Boot: "b"}.Encode()
	}
	return e
}

// TestCacheIsAsWhole checks that a cache that compiles change by change yields the same as a new one, and
// that a Compiled that it has returned, which shares data with later ones, never changes.
func TestCacheIsAsWhole(t *testing.T) {
	Convey("After each change a cache has the same as a new one, and nothing that it returned before changes", t, func() {
		for seed := uint64(1); seed <= 20; seed++ {
			r, part, view := rand.New(rand.NewPCG(seed, 3)), feed.NewPart(), feed.NewView(0)
			cache := &Cache{View: view}
			type kept struct{ was, whole *Compiled }
			all := []kept{}
			for range 150 {
				for range 1 + r.IntN(3) {
					part.Apply(randomChange(r))
				}
				news, _ := part.News(0, view.Revision(0))
				view.Update([]wire.PartNews{news}, time.Second)
				whole := (&Cache{View: view}).Current()
				got := cache.Current()
				So(got, ShouldResemble, whole)
				So(cache.Current(), ShouldEqual, got)
				all = append(all, kept{got, whole})
			}
			for _, k := range all {
				So(k.was, ShouldResemble, k.whole)
			}
		}
	})
}

// TestListsInPlace checks the updates of a list of many keys, which once was rebuilt with each change of
// one of them.
func TestListsInPlace(t *testing.T) {
	Convey("After each change of a list's keys, its workers are those of a rebuilt list", t, func() {
		for seed := uint64(1); seed <= 20; seed++ {
			r, part, view := rand.New(rand.NewPCG(seed, 7)), feed.NewPart(), feed.NewView(0)
			cache, count := &Cache{View: view}, 4
			part.Apply(wire.Edit{Key: DocumentKey, Value: []byte(`{"pools":{"p":{}}}`), IfRevision: -1})
			for range 200 {
				if r.IntN(25) == 0 {
					count = []int{1, 4, 8}[r.IntN(3)]
				}
				for range 1 + r.IntN(3) {
					part.Apply(randomBucket(r, count))
				}
				news, _ := part.News(0, view.Revision(0))
				view.Update([]wire.PartNews{news}, time.Second)
				So(cache.Current().Workers, ShouldResemble, (&Cache{View: view}).Current().Workers)
			}
		}
	})
}

// randomBucket returns a random change of one key of a list: at times one of another bucket count, a
// removal, or one with a worker that belongs to another key.
func randomBucket(r *rand.Rand, count int) wire.Edit {
	if r.IntN(12) == 0 {
		count = []int{1, 4, 8}[r.IntN(3)]
	}
	bucket, isStray := r.IntN(count), r.IntN(15) == 0
	list := Workers{Workers: []Worker{}}
	for i := range 60 {
		name := fmt.Sprint("w", i)
		if BucketOf(name, count) == bucket && r.IntN(4) > 0 || isStray && r.IntN(20) == 0 {
			list.Workers = append(list.Workers, Worker{Name: name, Address: "127.0.0.1:80", Zone: fmt.Sprint(r.IntN(9)), State: "live"})
		}
	}
	return wire.Edit{Key: BucketKey("p", bucket, count), Value: list.Encode(), IfRevision: -1, Gone: r.IntN(8) == 0}
}

// TestBuckets checks into how many buckets a list is split.
func TestBuckets(t *testing.T) {
	cases := []struct {
		text               string
		workers, now, want int
	}{
		{"an empty list is one key", 0, 0, 1},
		{"a short list is one key", workersPerBucket, 1, 1},
		{"a longer one is split", workersPerBucket + 1, 1, 2},
		{"the bucket count stays while it is about right", 3 * workersPerBucket, 8, 8},
		{"… and while the list grows a little", 30 * workersPerBucket, 8, 8},
		{"it is split anew when it has grown much", 33 * workersPerBucket, 8, 64},
		{"… and when it has become short", workersPerBucket, 8, 1},
		{"the bucket count is bounded", 1 << 30, 1, maxBuckets},
	}
	Convey("A pool's list is split into buckets:", t, func() {
		for _, c := range cases {
			Convey(c.text, func() { So(BucketCount(c.workers, c.now), ShouldEqual, c.want) })
		}
		Convey("each key yields its pool and bucket count", func() {
			for _, count := range []int{1, 2, 64} {
				pool, got := ParseListKey(BucketKey("a.b", count-1, count))
				So(pool, ShouldEqual, "a.b")
				So(got, ShouldEqual, count)
			}
		})
		Convey("every worker has one bucket", func() {
			seen := map[int]int{}
			for i := range 6400 {
				seen[BucketOf(fmt.Sprint("i-", i), 64)]++
			}
			So(len(seen), ShouldEqual, 64)
			for bucket, n := range seen {
				So(bucket, ShouldBeBetween, -1, 64)
				So(n, ShouldBeBetween, 40, 200)
			}
		})
	})
}
