package manager

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"caperwheel/internal/config"
	"caperwheel/internal/errs"
)

// TestLongList guards against never completing the read of a list that has more pages than the calls
// that it accepts per second.
func TestLongList(t *testing.T) {
	Convey("Given a list of 300 pages that accepts 20 calls per second", t, func() {
		s := newListFixture(4, 20)
		s.workers = manyWorkers(1200)
		Convey("the first pages are written while the rest is read", func() {
			s.advance(5 * time.Second)
			So(len(s.written()), ShouldBeBetween, 100, 400)
		})
		Convey("all pages are read at three quarters of the rate, the rest is left to other callers", func() {
			s.advance(22 * time.Second)
			So(s.written(), ShouldHaveLength, 1200)
			So(s.refusedCalls, ShouldEqual, 0)
			So(float64(s.calls)/22, ShouldBeBetween, 0.7*s.rate, 0.8*s.rate)
			Convey("then each zone is read separately, and a change is written without the rest", func() {
				zones := []string{}
				for _, c := range s.l.plan.Cursors() {
					zones = append(zones, c.Zone)
				}
				So(zones, ShouldResemble, []string{"", "a", "b", "c"})
				edits, bytes := len(s.f.edits), 0
				s.workers[700].State = "leaving"
				s.advance(40 * time.Second)
				So(s.written()["w-000700"].State, ShouldEqual, "leaving")
				for _, e := range s.f.edits[edits:] {
					bytes += len(e.Value)
				}
				So(len(s.f.edits)-edits, ShouldEqual, 1)
				So(bytes, ShouldBeLessThan, 20_000)
			})
		})
		Convey("after a 429 the read continues with the same page", func() {
			s.rate = 7 // other callers use up the rest
			s.m.source.Rate = func() float64 { return 20 }
			s.advance(70 * time.Second)
			So(s.refusedCalls, ShouldBeGreaterThan, 10)
			So(s.written(), ShouldHaveLength, 1200)
		})
		Convey("a zone whose pages fail does not delay the others", func() {
			s.advance(22 * time.Second)
			s.fail = func(zone, _ string) error {
				if zone == "b" {
					return errs.New(errs.Lost, "down")
				}
				return nil
			}
			for i := range s.workers {
				s.workers[i].State = "leaving"
			}
			s.advance(45 * time.Second)
			left := map[string]int{}
			for _, w := range s.written() {
				if w.State == "leaving" {
					left[w.Zone]++
				}
			}
			So(left["a"], ShouldEqual, 400)
			So(left["c"], ShouldEqual, 400)
			counts := map[string]int64{}
			s.l.addCounts(counts)
			So(counts[ListAgePrefix+"b"], ShouldEqual, -1)
			So(counts[ListAgePrefix+"a"], ShouldBeBetween, 0, 45_000)
		})
		Convey("an expired token restarts the read, and no worker is treated as gone", func() {
			s.advance(22 * time.Second)
			s.fail = func(_, token string) error {
				if token != "" {
					return errs.New(errs.Lost, "the token has expired")
				}
				return nil
			}
			s.advance(60 * time.Second)
			So(s.written(), ShouldHaveLength, 1200)
		})
		Convey("workers that are gone are removed", func() {
			s.advance(22 * time.Second)
			s.workers = s.workers[:600]
			s.advance(120 * time.Second)
			So(s.written(), ShouldHaveLength, 600)
		})
	})
}

// TestNewWorkersRest guards against writes that grow with the square of the list's length: while a long
// list was read for the first time, each write covered all of its keys.
func TestNewWorkersRest(t *testing.T) {
	const workers = 6000
	Convey("If writes take time,", t, func() {
		s := newListFixture(5, 20)
		s.workers = manyWorkers(workers)
		s.f.afterEdit = func() { s.now += 50 * time.Millisecond }
		bytes := func() (sum int) {
			for _, e := range s.f.edits {
				if strings.HasPrefix(e.Key, config.WorkersKey) {
					sum += len(e.Value)
				}
			}
			return sum
		}
		Convey("a long list is written only a few times during its first read", func() {
			s.advance(200 * time.Second)
			So(s.written(), ShouldHaveLength, workers)
			So(bytes(), ShouldBeLessThan, 12*len(config.Workers{Workers: s.workers}.Encode()))
			Convey("a change of a known worker does not wait", func() {
				s.f.afterEdit = nil
				s.l.poolListOf("p").newWorkersAt = s.now + time.Hour
				s.l.roster.Record("p", config.Worker{Name: "new", Address: "127.0.0.1:80", Zone: "a", State: "live"}, s.now)
				s.l.roster.Record("p", config.Worker{Name: "w-000007", Address: "127.0.0.1:80", Zone: "b", State: "leaving"}, s.now)
				s.l.flush(context.Background())
				So(s.written()["w-000007"].State, ShouldEqual, "leaving")
				waits := func() bool { _, isWritten := s.written()["new"]; return !isWritten }
				So(waits(), ShouldBeTrue)
				s.l.poolListOf("p").newWorkersAt = s.now
				s.l.flush(context.Background())
				So(waits(), ShouldBeFalse)
			})
		})
	})
}

// TestListThatMoves adds, removes and changes entries while the pages are read, so that entries move
// between pages. A worker that is listed all the time must never be removed, and in the end the
// written workers must be those of the list.
func TestListThatMoves(t *testing.T) {
	Convey("If the list changes while it is read, and pages fail or are invalid, with seed", t, func() {
		for seed := uint64(1); seed <= 4; seed++ {
			Convey(fmt.Sprint(seed), func() {
				r := rand.New(rand.NewPCG(seed, 5))
				s := newListFixture(4, 20)
				s.workers = manyWorkers(160)
				stays := map[string]bool{}
				for i, w := range s.workers {
					stays[w.Name] = i%2 == 0
				}
				s.advance(8 * time.Second)
				So(s.written(), ShouldHaveLength, 160)
				lost := map[string]bool{}
				s.onFlush = func() {
					now := s.written()
					for name, isThere := range stays {
						if _, isWritten := now[name]; isThere && !isWritten {
							lost[name] = true
						}
					}
				}
				s.fail = func(_, token string) error {
					kinds := []errs.Kind{errs.Lost, errs.Corrupt, errs.Full}
					if r.IntN(8) == 0 {
						return errs.New(kinds[r.IntN(len(kinds))], "drawn")
					}
					return nil
				}
				s.mutatePage = func(page *ListPage) {
					if r.IntN(20) == 0 { // an invalid entry and a duplicate
						page.Workers["p"] = append(slices.Clone(page.Workers["p"]), config.Worker{Name: "no name"}, s.workers[0])
					}
				}
				for range 30 {
					s.advance(time.Second)
					for range 1 + r.IntN(2) {
						s.change(r, stays)
					}
				}
				So(lost, ShouldBeEmpty)
				s.fail, s.mutatePage = nil, nil
				s.advance(60 * time.Second)
				want := map[string]config.Worker{}
				for _, w := range s.workers {
					want[w.Name] = w
				}
				So(s.written(), ShouldResemble, want)
			})
		}
	})
}

// change removes, inserts or changes one worker of the list at random.
func (s *listFixture) change(r *rand.Rand, stays map[string]bool) {
	at := r.IntN(len(s.workers))
	switch r.IntN(3) {
	case 0:
		if !stays[s.workers[at].Name] {
			s.workers = slices.Delete(slices.Clone(s.workers), at, at+1)
		}
	case 1:
		w := config.Worker{Name: fmt.Sprint("new-", r.Uint32()), Address: "127.0.0.1:80", Zone: "b", State: "live"}
		s.workers = slices.Insert(slices.Clone(s.workers), at, w)
	default:
		s.workers = slices.Clone(s.workers)
		s.workers[at].State = []string{"live", "leaving"}[r.IntN(2)]
	}
}
