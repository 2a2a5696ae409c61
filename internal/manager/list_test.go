package manager

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"caperwheel/internal/config"
	"caperwheel/internal/errs"
	"caperwheel/internal/listing"
	"caperwheel/internal/timing"
	"caperwheel/internal/wire"
)

// listed is a source of workers on a simulated clock, with a manager that reads it.
//
// Invariant: took has the moments of the calls of the last second, which are at most rate.
type listed struct {
	m       *Manager
	f       *fakeParts
	l       *lister
	now     time.Duration
	workers []config.Worker // in the list's order
	page    int
	rate    float64
	took    []time.Duration
	calls   int
	over    int
	fail    func(zone, token string) error // if given
	mess    func(page *ListPage)           // if given
	shown   func()                         // called after each flush, if given
}

func newListed(page int, rate float64) *listed {
	m, f := newFake()
	s := &listed{m: m, f: f, page: page, rate: rate}
	s.now = m.d.Now()
	m.d.Clock = func() time.Duration { return s.now }
	m.resend = 5 * time.Second
	m.source = &Source{Page: s.read, Rate: func() float64 { return s.rate }, Lag: time.Second}
	s.propose(`{"pools":{"p":{},"e":{"kind":"endpoint","address":"127.0.0.1:9"}}}`)
	s.l = newLister(m)
	return s
}

func (s *listed) propose(doc string) {
	_, revision, err := s.m.operators.Config(context.Background())
	So(err, ShouldBeNil)
	_, err = s.m.operators.Propose(context.Background(), Proposal{OnRevision: revision, Make: func([]byte) ([]byte, error) { return []byte(doc), nil }})
	So(err, ShouldBeNil)
}

// read serves one page: the token is where it begins.
func (s *listed) read(_ context.Context, zone, token string) (ListPage, error) {
	s.calls++
	s.took = slices.DeleteFunc(s.took, func(at time.Duration) bool { return at <= s.now-time.Second })
	if s.rate > 0 && float64(len(s.took)) >= s.rate {
		s.over++
		return ListPage{}, errs.New(errs.Full, "rate")
	}
	s.took = append(s.took, s.now)
	if s.fail != nil {
		if err := s.fail(zone, token); err != nil {
			return ListPage{}, err
		}
	}
	rows := []config.Worker{}
	for _, w := range s.workers {
		if zone == "" || w.Zone == zone {
			rows = append(rows, w)
		}
	}
	from, _ := strconv.Atoi(token)
	from = min(from, len(rows))
	until := min(len(rows), from+s.page)
	out := ListPage{Workers: map[string][]config.Worker{"p": rows[from:until], "other": {}}}
	if until < len(rows) {
		out.Next = strconv.Itoa(until)
	}
	if s.mess != nil {
		s.mess(&out)
	}
	return out, nil
}

// confirm has the view be fresh.
func (s *listed) confirm() {
	for part := range int64(2) {
		s.m.d.View.Take([]wire.PartNews{{Part: part, From: s.m.d.View.Revision(part), To: s.m.d.View.Revision(part)}}, s.now)
	}
}

// pass lets time go by: each list that is due is asked, and what was read is written.
func (s *listed) pass(span time.Duration) {
	const step = 10 * time.Millisecond
	flushAt, idle := s.now, 0
	defer func() { So(idle, ShouldEqual, 0) }()
	for until := s.now + span; s.now < until; s.now += step {
		s.confirm()
		if !s.l.prepare() {
			idle++
			continue
		}
		for _, c := range s.l.plan.Cursors() {
			if c.Due(s.now) == 0 {
				s.l.step(context.Background(), c)
			}
		}
		if s.now >= flushAt || len(s.l.passed) > 0 {
			flushAt = s.now + s.m.d.Bounds.Of(timing.ListInterval)
			s.l.flush(context.Background())
			if s.shown != nil {
				s.shown()
			}
		}
	}
}

// turn is one read at most of a list of one page, and its write.
func (s *listed) turn() { s.pass(s.m.d.Bounds.Of(timing.ListInterval)) }

// written returns what stands of the pool, by name.
func (s *listed) written() map[string]config.Worker {
	out := map[string]config.Worker{}
	revisions := map[string]int64{}
	news, _ := s.f.part(1).News(1, 0)
	for _, c := range news.Changes {
		pool, _ := config.PoolOfList(c.Key)
		if c.Gone || !strings.HasPrefix(c.Key, config.WorkersKey) || pool != "p" {
			continue
		}
		got, _ := config.ReadWorkers(c.Value)
		for _, w := range got.Workers {
			if c.Revision >= revisions[w.Name] {
				out[w.Name], revisions[w.Name] = w, c.Revision
			}
		}
	}
	return out
}

func listedWorker(name, state string, isCold bool) config.Worker {
	return config.Worker{Name: name, Address: "127.0.0.1:80", Zone: "a", State: state, IsCold: isCold}
}

// many returns so many workers of three zones.
func many(count int) []config.Worker {
	out := []config.Worker{}
	for i := range count {
		out = append(out, config.Worker{Name: fmt.Sprintf("w-%06d", i), Address: "127.0.0.1:80", Zone: []string{"a", "b", "c"}[i%3], State: "live"})
	}
	return out
}

// TestList is the table of what is written of a short list, turn by turn.
func TestList(t *testing.T) {
	w1, w2, left := listedWorker("w1", "live", false), listedWorker("w2", "live", true), listedWorker("w1", "leaving", false)
	bad := listedWorker("no name", "live", false)
	type turn struct {
		read  []config.Worker
		err   error
		edits int // so far, without the configuration's
		want  []config.Worker
	}
	full, lost := errs.New(errs.Full, "rate"), errs.New(errs.Lost, "down")
	both := []config.Worker{w1, w2}
	cases := []struct {
		name  string
		turns []turn
	}{
		{"a new list, once", []turn{{both, nil, 1, both}, {[]config.Worker{w2, w1}, nil, 1, both}}},
		{"a worker that leaves", []turn{{both, nil, 1, both}, {[]config.Worker{left, w2}, nil, 2, []config.Worker{left, w2}}}},
		{"nothing when the read fails", []turn{{both, nil, 1, both}, {nil, lost, 1, both}, {both, nil, 1, both}}},
		{"nothing when calls are refused", []turn{{both, nil, 1, both}, {nil, full, 1, both}, {[]config.Worker{left, w2}, nil, 2, []config.Worker{left, w2}}}},
		{"a worker gone once it was missed twice", []turn{{both, nil, 1, both}, {[]config.Worker{w1}, nil, 1, both},
			{[]config.Worker{w1}, nil, 2, []config.Worker{w1}}}},
		{"a worker missed once", []turn{{both, nil, 1, both}, {[]config.Worker{w1}, nil, 1, both}, {both, nil, 1, both}}},
		{"no worker that a list may not hold", []turn{{[]config.Worker{w1, bad}, nil, 1, []config.Worker{w1}}}},
	}
	for _, isBlind := range []bool{false, true} {
		name := map[bool]string{false: "The list controller writes", true: "The list controller writes, with its view behind,"}[isBlind]
		Convey(name, t, func() {
			for _, c := range cases {
				Convey(c.name, func() {
					s := newListed(100, 0)
					var now turn
					s.fail = func(string, string) error { return now.err }
					s.f.isBlind = isBlind
					for _, now = range c.turns {
						s.workers = now.read
						s.turn()
						So(len(s.f.edits)-1, ShouldEqual, now.edits)
						stands, _ := s.f.part(1).Get(config.WorkersKey + "p")
						got, faults := config.ReadWorkers(stands.Value)
						So(faults, ShouldBeEmpty)
						So(got.Workers, ShouldResemble, now.want)
					}
				})
			}
		})
	}
}

// TestLongList: a list of more pages than it takes calls in a second was never read.
func TestLongList(t *testing.T) {
	Convey("Of a list of 300 pages that takes 20 calls a second", t, func() {
		s := newListed(4, 20)
		s.workers = many(1200)
		Convey("the first pages are written while the rest is read", func() {
			s.pass(5 * time.Second)
			So(len(s.written()), ShouldBeBetween, 100, 400)
		})
		Convey("all is read at three quarters of the rate, the rest is left to others", func() {
			s.pass(22 * time.Second)
			So(s.written(), ShouldHaveLength, 1200)
			So(s.over, ShouldEqual, 0)
			So(float64(s.calls)/22, ShouldBeBetween, 0.7*s.rate, 0.8*s.rate)
			Convey("then each zone by itself, and a change is written without the rest", func() {
				zones := []string{}
				for _, c := range s.l.plan.Cursors() {
					zones = append(zones, c.Zone)
				}
				So(zones, ShouldResemble, []string{"", "a", "b", "c"})
				edits, bytes := len(s.f.edits), 0
				s.workers[700].State = "leaving"
				s.pass(40 * time.Second)
				So(s.written()["w-000700"].State, ShouldEqual, "leaving")
				for _, e := range s.f.edits[edits:] {
					bytes += len(e.Value)
				}
				So(len(s.f.edits)-edits, ShouldEqual, 1)
				So(bytes, ShouldBeLessThan, 20_000)
			})
		})
		Convey("a 429 costs time and no page: the read goes on where it stands", func() {
			s.rate = 7 // others call as well
			s.m.source.Rate = func() float64 { return 20 }
			s.pass(70 * time.Second)
			So(s.over, ShouldBeGreaterThan, 10)
			So(s.written(), ShouldHaveLength, 1200)
		})
		Convey("a zone whose pages fail holds up no other", func() {
			s.pass(22 * time.Second)
			s.fail = func(zone, _ string) error {
				if zone == "b" {
					return errs.New(errs.Lost, "down")
				}
				return nil
			}
			for i := range s.workers {
				s.workers[i].State = "leaving"
			}
			s.pass(45 * time.Second)
			left := map[string]int{}
			for _, w := range s.written() {
				if w.State == "leaving" {
					left[w.Zone]++
				}
			}
			So(left["a"], ShouldEqual, 400)
			So(left["c"], ShouldEqual, 400)
			counts := map[string]int64{}
			s.l.say(counts)
			So(counts[ListAge+"b"], ShouldEqual, -1)
			So(counts[ListAge+"a"], ShouldBeBetween, 0, 45_000)
		})
		Convey("tokens that expire begin the read anew, and nothing is taken for gone", func() {
			s.pass(22 * time.Second)
			s.fail = func(_, token string) error {
				if token != "" {
					return errs.New(errs.Lost, "the token has expired")
				}
				return nil
			}
			s.pass(60 * time.Second)
			So(s.written(), ShouldHaveLength, 1200)
		})
		Convey("workers that are gone are taken out", func() {
			s.pass(22 * time.Second)
			s.workers = s.workers[:600]
			s.pass(120 * time.Second)
			So(s.written(), ShouldHaveLength, 600)
		})
	})
}

// TestListThatMoves: entries come, go and move between pages while they are read. A worker that
// is on the list all the time is never taken out, and in the end what is written is the list.
func TestListThatMoves(t *testing.T) {
	Convey("Under a list that moves while it is read, with pages that fail or are broken, in seed", t, func() {
		for seed := uint64(1); seed <= 4; seed++ {
			Convey(fmt.Sprint(seed), func() {
				r := rand.New(rand.NewPCG(seed, 5))
				s := newListed(4, 20)
				s.workers = many(160)
				stays := map[string]bool{}
				for i, w := range s.workers {
					stays[w.Name] = i%2 == 0
				}
				s.pass(8 * time.Second)
				So(s.written(), ShouldHaveLength, 160)
				lost := map[string]bool{}
				s.shown = func() {
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
				s.mess = func(page *ListPage) {
					if r.IntN(20) == 0 { // an entry that no list may hold, and one that comes twice
						page.Workers["p"] = append(slices.Clone(page.Workers["p"]), config.Worker{Name: "no name"}, s.workers[0])
					}
				}
				for range 30 {
					s.pass(time.Second)
					for range 1 + r.IntN(2) {
						s.change(r, stays)
					}
				}
				So(lost, ShouldBeEmpty)
				s.fail, s.mess = nil, nil
				s.pass(60 * time.Second)
				want := map[string]config.Worker{}
				for _, w := range s.workers {
					want[w.Name] = w
				}
				So(s.written(), ShouldResemble, want)
			})
		}
	})
}

// change takes a worker off the list, puts one on anywhere, or changes one.
func (s *listed) change(r *rand.Rand, stays map[string]bool) {
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

// TestReaderChanges: a manager that takes the reading over knows what stands, and writes what has
// changed alone.
func TestReaderChanges(t *testing.T) {
	Convey("Given a long list that another manager has written", t, func() {
		s := newListed(50, 40)
		s.workers = many(1000)
		s.pass(5 * time.Second)
		So(s.written(), ShouldHaveLength, 1000)
		s.l = newLister(s.m)
		edits := len(s.f.edits)
		Convey("nothing is written where nothing has changed", func() {
			s.pass(5 * time.Second)
			So(len(s.f.edits), ShouldEqual, edits)
		})
		Convey("workers that went meanwhile are taken out, and their keys", func() {
			s.workers = s.workers[:10]
			s.pass(10 * time.Second)
			So(s.written(), ShouldHaveLength, 10)
			cut := 0
			news, _ := s.f.part(1).News(1, 0)
			for _, c := range news.Changes {
				if strings.HasPrefix(c.Key, config.WorkersKey) && !c.Gone {
					cut++
				}
			}
			So(cut, ShouldEqual, 1)
		})
		Convey("a pool that a configuration adds is written at once", func() {
			s.propose(`{"pools":{"p":{},"other":{}}}`)
			s.mess = func(page *ListPage) {
				page.Workers["other"] = []config.Worker{listedWorker("o", "live", false)}
			}
			s.pass(5 * time.Second)
			stands, _ := s.f.part(1).Get(config.WorkersKey + "other")
			So(string(stands.Value), ShouldContainSubstring, `"o"`)
		})
	})
}

// TestPeriods is the table of how the rate is shared among the lists that are read side by side.
func TestPeriods(t *testing.T) {
	Convey("The calls of all lists together", t, func() {
		for _, zones := range []int{0, 2, 9} {
			plan, named := listing.NewPlan(time.Millisecond), map[string]bool{}
			for i := range zones {
				named[fmt.Sprint("z", i)] = true
			}
			whole := plan.Cursors()[0]
			whole.Ask(0)
			whole.WholePages, whole.IsWhole = 1000, true
			plan.Divide(named, 40)
			Convey(fmt.Sprintf("are three quarters of the rate with %d zones", zones), func() {
				So(plan.Cursors(), ShouldHaveLength, 1+zones)
				sum := 0.0
				for _, c := range plan.Cursors() {
					sum += 1 / plan.Period(c, 40).Seconds()
				}
				So(sum, ShouldAlmostEqual, 30, 0.01)
			})
		}
	})
}

// TestEasing: the workers of a restored zone count as cold until a read that
// began later than the source's lag has reached every daemon.
func TestEasing(t *testing.T) {
	Convey("A restored cell's workers", t, func() {
		s := newListed(100, 0)
		s.workers = []config.Worker{{Name: "w", Address: "127.0.0.1:80", Zone: "a", State: "live"}}
		s.turn()
		look := func() (isServed, isCold bool) {
			w, isServed := s.m.configs.Current().CanServe("p", "w")
			return isServed, w.IsCold
		}
		_, err := s.m.operators.Empty(context.Background(), "x", "a", true)
		So(err, ShouldBeNil)
		isServed, _ := look()
		So(isServed, ShouldBeFalse)
		So(s.m.configs.Current().MayWork("a"), ShouldBeTrue)
		_, err = s.m.operators.Restore(context.Background(), "x", "a")
		So(err, ShouldBeNil)
		steps := []struct {
			name   string
			passed time.Duration
			isCold bool
		}{
			{"are cold at first", 0, true},
			{"are cold while the list may be older", 500 * time.Millisecond, true},
			{"are cold until daemons have what a later read told", 4 * time.Second, true},
			{"are cold until daemons have it, still", 6 * time.Second, true},
			{"are as listed after that", 16 * time.Second, false},
		}
		for _, step := range steps {
			s.pass(step.passed)
			isServed, isCold := look()
			So(isServed, ShouldBeTrue)
			So(step.name, ShouldEqual, map[bool]string{true: step.name}[isCold == step.isCold])
		}
	})
}
