package manager

import (
	"context"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"caperwheel/internal/config"
	"caperwheel/internal/errs"
	"caperwheel/internal/timing"
	"caperwheel/internal/wire"
)

// listFixture is a source of workers on a simulated clock, with a manager that reads it.
//
// Invariant: callTimes has the times of the accepted calls of the last second, at most rate of them.
type listFixture struct {
	m            *Manager
	f            *fakeParts
	l            *listController
	now          time.Duration
	workers      []config.Worker // in the list's order
	page         int
	rate         float64
	callTimes    []time.Duration
	calls        int
	refusedCalls int
	fail         func(zone, token string) error // if given
	mutatePage   func(page *ListPage)           // if given
	onFlush      func()                         // called after each flush, if given
}

func newListFixture(page int, rate float64) *listFixture {
	m, f := newFakeManager()
	s := &listFixture{m: m, f: f, page: page, rate: rate}
	s.now = m.d.Now()
	m.d.Clock = func() time.Duration { return s.now }
	m.resendWindow = 5 * time.Second
	m.source = &Source{Page: s.servePage, Rate: func() float64 { return s.rate }, MaxLag: time.Second}
	s.propose(`{"pools":{"p":{},"e":{"kind":"endpoint","address":"127.0.0.1:9"}}}`)
	s.l = newListController(m)
	return s
}

func (s *listFixture) propose(doc string) {
	_, revision, err := s.m.operators.Config(context.Background())
	So(err, ShouldBeNil)
	_, err = s.m.operators.Propose(context.Background(), Proposal{BaseRevision: revision, Build: func([]byte) ([]byte, error) { return []byte(doc), nil }})
	So(err, ShouldBeNil)
}

// servePage serves one page; the token is the index of its first worker.
func (s *listFixture) servePage(_ context.Context, zone, token string) (ListPage, error) {
	s.calls++
	s.callTimes = slices.DeleteFunc(s.callTimes, func(at time.Duration) bool { return at <= s.now-time.Second })
	if s.rate > 0 && float64(len(s.callTimes)) >= s.rate {
		s.refusedCalls++
		return ListPage{}, errs.New(errs.Full, "rate")
	}
	s.callTimes = append(s.callTimes, s.now)
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
	if s.mutatePage != nil {
		s.mutatePage(&out)
	}
	return out, nil
}

// refreshView confirms the view, so that it is fresh.
func (s *listFixture) refreshView() {
	for part := range int64(2) {
		s.m.d.View.Update([]wire.PartNews{{Part: part, From: s.m.d.View.Revision(part), To: s.m.d.View.Revision(part)}}, s.now)
	}
}

// advance advances the clock by span in steps, reads each list that is due, and writes what was read.
func (s *listFixture) advance(span time.Duration) {
	const step = 10 * time.Millisecond
	flushAt, idle := s.now, 0
	defer func() { So(idle, ShouldEqual, 0) }()
	for until := s.now + span; s.now < until; s.now += step {
		s.refreshView()
		if !s.l.prepare() {
			idle++
			continue
		}
		for _, c := range s.l.plan.Cursors() {
			if c.Delay(s.now) == 0 {
				s.l.readPage(context.Background(), c)
			}
		}
		if s.now >= flushAt || len(s.l.completedReads) > 0 {
			flushAt = s.now + s.m.d.Bounds.Of(timing.ListInterval)
			s.l.flush(context.Background())
			if s.onFlush != nil {
				s.onFlush()
			}
		}
	}
}

// advanceInterval advances the clock by one list interval: at most one read of a list of one page, and its write.
func (s *listFixture) advanceInterval() { s.advance(s.m.d.Bounds.Of(timing.ListInterval)) }

// written returns the stored workers of the pool, by name.
func (s *listFixture) written() map[string]config.Worker {
	out := map[string]config.Worker{}
	revisions := map[string]int64{}
	news, _ := s.f.part(1).News(1, 0)
	for _, c := range news.Changes {
		pool, _ := config.ParseListKey(c.Key)
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

// manyWorkers returns count workers in three zones.
func manyWorkers(count int) []config.Worker {
	out := []config.Worker{}
	for i := range count {
		out = append(out, config.Worker{Name: fmt.Sprintf("w-%06d", i), Address: "127.0.0.1:80", Zone: []string{"a", "b", "c"}[i%3], State: "live"})
	}
	return out
}
