package manager

import (
	"context"
	"sync"
	"time"

	"github.com/alitto/pond/v2"
	"k8s.io/klog/v2"

	"caperwheel/internal/config"
	"caperwheel/internal/duty"
	"caperwheel/internal/listing"
	"caperwheel/internal/timing"
)

// Source tells which workers there are.
type Source struct {
	// Page reads one page of the list; zone may be empty for all, and token is for the first.
	// errs.Full means that the list has been asked too often.
	Page func(ctx context.Context, zone, token string) (ListPage, error)
	Rate func() float64 // calls a second that the list takes from all; 0 for no bound
	Lag  time.Duration  // what it tells may be so old
}

// ListPage is one page of a list: workers by pool, and which page follows; empty on the last.
type ListPage struct {
	Workers map[string][]config.Worker
	Next    string
}

// lister reads a source and writes what it tells into the pools' lists. One manager does: all
// calls come out of one rate, so that several readers would be no faster, and each key has one
// writer.
//
// Invariants: mu guards all below it; roster, plan and pools are nil while this manager is not the
// reader; written has each key as this manager last wrote it, since the view may be behind.
type lister struct {
	m     *Manager
	edits pond.Pool
	wake  chan struct{} // a read is complete

	mu       sync.Mutex
	roster   *listing.Roster
	plan     *listing.Plan
	readers  map[*listing.Cursor]context.CancelFunc
	passed   []passed // complete reads that are not written yet
	written  map[string]writtenList
	pools    map[string]*listedPool
	easing   map[string]ease
	isLost   map[*listing.Cursor]bool
	leftOut  map[string]bool // by pool and name: entries that a list may not hold, of which the log tells
	refused  int             // calls since the reading began
	toldFull time.Duration   // when that was last logged
}

// passed is a complete read.
type passed struct {
	zone  string // empty for all
	began time.Duration
}

// mostEdits is how many keys of lists are written at once.
const mostEdits = 32

func newLister(m *Manager) *lister {
	return &lister{m: m, edits: pond.NewPool(mostEdits), wake: make(chan struct{}, 1)}
}

// controlLists runs the lister until ctx ends.
func (l *lister) controlLists(ctx context.Context) {
	ticker := time.NewTicker(l.m.d.Bounds.Of(timing.ListInterval))
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-l.wake:
		}
		l.turn(ctx)
	}
}

// turn reads and writes, if this manager is the one that does. Should two think so, the revisions
// let one win.
func (l *lister) turn(ctx context.Context) {
	if l.prepare() {
		l.startReaders(ctx)
		l.flush(ctx)
	}
}

// prepare reports whether this manager is the reader now, and has it begin or let go.
func (l *lister) prepare() bool {
	if !l.isReader() {
		l.stop()
		return false
	}
	l.begin()
	l.seeEasing()
	return true
}

// flush writes what was read.
func (l *lister) flush(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, l.m.d.Bounds.Config)
	defer cancel()
	reads := l.takePassed()
	if !l.write(ctx, len(reads) > 0) {
		l.putBack(reads)
		return
	}
	for _, read := range reads {
		l.settle(ctx, read)
	}
}

// isReader reports whether this manager reads the source.
func (l *lister) isReader() bool {
	managers := []string{}
	for _, who := range l.m.d.Membership.Kind("manager") {
		managers = append(managers, who.Name)
	}
	return l.m.d.IsFresh() && duty.First("list", managers) == l.m.d.Who.Name
}

// stop lets the reading go.
func (l *lister) stop() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, cancel := range l.readers {
		cancel()
	}
	l.roster, l.plan, l.readers, l.passed, l.isLost = nil, nil, nil, nil, nil
	l.written, l.pools, l.easing, l.leftOut, l.refused = nil, nil, nil, nil, 0
}

// begin takes the reading up: what the view has is known, until reads leave it out.
func (l *lister) begin() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.roster != nil {
		return
	}
	klog.Infof("list: This manager reads the source of workers.")
	l.roster, l.plan = listing.NewRoster(), listing.NewPlan(l.m.d.Bounds.Of(timing.ListInterval))
	l.readers, l.isLost, l.leftOut = map[*listing.Cursor]context.CancelFunc{}, map[*listing.Cursor]bool{}, map[string]bool{}
	l.written, l.pools = map[string]writtenList{}, map[string]*listedPool{}
	compiled, now := l.m.configs.Current(), l.m.d.Now()
	for name, pool := range compiled.Rules.Pools {
		if pool.IsEndpoint {
			continue
		}
		for _, w := range compiled.Workers[name].All() {
			l.roster.See(name, w, now)
		}
	}
	l.roster.Changed() // the view has it
}

func (l *lister) takePassed() []passed {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := l.passed
	l.passed = nil
	return out
}

func (l *lister) putBack(reads []passed) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.passed = append(reads, l.passed...)
}

// say adds to what the manager tells of itself: the age of each list that it reads, in
// milliseconds, and how many calls were refused.
func (l *lister) say(counts map[string]int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.plan == nil {
		return
	}
	now := l.m.d.Now()
	for _, c := range l.plan.Cursors() {
		counts[ListAge+c.Zone] = -1
		if age, isRead := c.Age(now); isRead {
			counts[ListAge+c.Zone] = age.Milliseconds()
		}
	}
	counts[ListRefused] = int64(l.refused)
}

// The counts by which a manager tells of its reading. ListAge is followed by the zone that a list
// is of, none for all zones; its figure is the age of the newest complete read in milliseconds, -1
// where there is none yet.
const (
	ListAge     = "list_age_ms "
	ListRefused = "list_refused"
)
