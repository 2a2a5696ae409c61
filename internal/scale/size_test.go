package scale

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"caperwheel/internal/config"
	"caperwheel/internal/duty"
	"caperwheel/internal/feed"
	"caperwheel/internal/place"
	"caperwheel/internal/session"
	"caperwheel/internal/wire"
)

// The benchmarks below measure the pure parts at sizes that no machine of ours
// can run as processes. docs/CAPACITY.md tells the command.

// heap tells the bytes that are live now.
func heap() float64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}

func whoOf(kind string, i int) wire.Who {
	return wire.Who{Name: fmt.Sprintf("%s-%04d", kind, i), Kind: kind, Boot: "0123456789abcdef", Zone: fmt.Sprintf("z%d", i%9),
		Addr: fmt.Sprintf("10.1.%d.%d:7001", i/256, i%256), Http: fmt.Sprintf("10.1.%d.%d:8080", i/256, i%256)}
}

func membersOf(count int) []wire.Member {
	out := []wire.Member{}
	for i := range count {
		kind := []string{"agent", "adapter"}[i%2]
		if i < count/50 {
			kind = "store"
		}
		out = append(out, wire.Member{Who: whoOf(kind, i), Owns: []wire.Owned{}, Fact: wire.Fact{Fresh: true, Counts: map[string]int64{"runs": 1}}})
	}
	return out
}

// BenchmarkRegistry is what a manager does each tick with the sessions: take
// its peers' in, list them, name the list.
func BenchmarkRegistry(b *testing.B) {
	for _, count := range []int{60, 590, 5900, 59000} {
		b.Run(fmt.Sprint(count), func(b *testing.B) {
			r, members, now := session.NewRegistry(time.Hour), membersOf(count), time.Duration(0)
			membership := session.NewMembership()
			for b.Loop() {
				now += time.Millisecond
				for _, m := range members {
					r.Hear(m, now, true)
				}
				membership.Take(r.Members(now))
			}
			share := wire.NewPlain(&wire.Share{}).Encode(&wire.Share{Members: r.Own(now)})
			b.ReportMetric(float64(len(share))/float64(count), "B/session-in-a-share")
			for _, kind := range []string{"store", "agent"} {
				news := session.NewsFor(&wire.Poll{Who: wire.Who{Kind: kind}}, feed.NewView(parts), 0, membership)
				b.ReportMetric(float64(len(wire.NewPlain(&wire.News{}).Encode(news))), "B/roll-to-"+kind)
			}
		})
	}
}

// stateOf gives the changes of so many destinations: lists and duties.
func stateOf(count int) []wire.PartNews {
	p := Point{Destinations: count}
	doc, _ := p.config()
	byPart, revisions := map[int64][]wire.Change{}, map[int64]int64{}
	put := func(part int64, key string, value []byte) {
		revisions[part]++
		byPart[part] = append(byPart[part], wire.Change{Key: key, Value: value, Revision: revisions[part], By: "duty controller at manager-1 #0123456789ab"})
	}
	put(0, config.Key, doc)
	for pool, list := range p.lists(nobody) {
		part := feed.PartOf(pool, parts)
		put(part, config.WorkersKey+pool, config.Workers{Workers: list}.Encode())
		for _, w := range list {
			put(part, config.DutyKey+pool+"/"+w.Name, config.Duty{Holder: "adapter-0001", Boot: "0123456789abcdef"}.Encode())
		}
	}
	out := []wire.PartNews{}
	for part, changes := range byPart {
		out = append(out, wire.PartNews{Part: part, To: revisions[part], Changes: changes})
	}
	return out
}

// BenchmarkScene is what one change costs each daemon that follows: the view
// takes it and the configuration is composed anew; and what the daemon then holds.
func BenchmarkScene(b *testing.B) {
	for _, count := range []int{100, 1000, 10_000, 100_000} {
		b.Run(fmt.Sprint(count), func(b *testing.B) {
			state := stateOf(count)
			bytes := 0
			for _, n := range state {
				for _, c := range n.Changes {
					bytes += len(c.Key) + len(c.Value) + len(c.By)
				}
			}
			before := heap()
			view := feed.NewView(parts)
			view.Take(state, 0)
			configs := config.Cache{View: view}
			configs.Current()
			held := heap() - before
			revision := view.Revision(1)
			for b.Loop() {
				view.Take([]wire.PartNews{{Part: 1, From: revision, To: revision + 1, Changes: []wire.Change{{Key: config.ZoneKey + "x", Revision: revision + 1, Value: []byte("{}")}}}}, 0)
				revision++
				configs.Current()
			}
			b.ReportMetric(held/float64(count), "B-held/destination")
			b.ReportMetric(float64(bytes)/float64(count), "B-sent/destination")
			runtime.KeepAlive(state)
		})
	}
}

// BenchmarkNews is what a follower that is one change behind costs.
func BenchmarkNews(b *testing.B) {
	for _, count := range []int{1000, 100_000} {
		b.Run(fmt.Sprint(count), func(b *testing.B) {
			p := feed.NewPart()
			for i := range count {
				p.Apply(wire.Edit{Key: fmt.Sprint(i), Value: []byte("x"), IfRevision: -1})
			}
			for b.Loop() {
				p.News(0, p.Revision()-1)
			}
		})
	}
}

// BenchmarkPlan is one manager's round over all pools, with nothing to move.
func BenchmarkPlan(b *testing.B) {
	for _, count := range []int{1000, 10_000, 100_000} {
		b.Run(fmt.Sprint(count), func(b *testing.B) {
			view := feed.NewView(parts)
			view.Take(stateOf(count), 0)
			configs := config.Cache{View: view}
			compiled := configs.Current()
			adapters := []wire.Who{{Name: "adapter-0001", Kind: "adapter", Boot: "0123456789abcdef", Zone: "hollow-a"}}
			for b.Loop() {
				for pool := range compiled.Rules.Pools {
					if len(duty.Plan(pool, compiled, duty.Adapters{Here: adapters}, func(string) (int64, bool) { return 1, true })) > 0 {
						b.Fatal("nothing was to move")
					}
				}
			}
		})
	}
}

// BenchmarkBacklog is one place that holds messages of 256 bytes: what each
// takes in memory and in the image, and how long the image is made and read.
func BenchmarkBacklog(b *testing.B) {
	for _, count := range []int{1000, 10_000, 100_000, 1_000_000} {
		b.Run(fmt.Sprint(count), func(b *testing.B) {
			before := heap()
			m := place.New()
			for i := range count {
				m.Apply(place.Command{Kind: place.CmdTake, At: int64(i), Id: fmt.Sprintf("17-%024d", i), Lane: "parked", Deadline: 86_400_000,
					Body: make([]byte, bodySize), Sum: fmt.Sprintf("%064d", i), Ctype: "application/octet-stream"})
			}
			held := heap() - before
			var image []byte
			made, read := time.Duration(0), time.Duration(0)
			for b.Loop() {
				began := time.Now()
				image = m.Image()
				made += time.Since(began)
				began = time.Now()
				if _, err := place.Restore(image); err != nil {
					b.Fatal(err)
				}
				read += time.Since(began)
			}
			n := float64(count)
			b.ReportMetric(held/n, "B-held/message")
			b.ReportMetric(float64(len(image))/n, "B-image/message")
			b.ReportMetric(float64(made.Nanoseconds())/float64(b.N)/n, "ns-image/message")
			b.ReportMetric(float64(read.Nanoseconds())/float64(b.N)/n, "ns-restore/message")
			runtime.KeepAlive(m)
		})
	}
}
