package manager

import (
	"context"
	"sync"
	"time"

	"github.com/alitto/pond/v2"
	"k8s.io/klog/v2"

	"caperwheel/internal/config"
	"caperwheel/internal/duty"
	"caperwheel/internal/timing"
	"caperwheel/internal/workerlist"
)

// Source tells which workers there are.
type Source struct {
	// Page reads one page of the list; zone may be empty for all, and token is for the first.
	// errs.Full means that the list has been asked too often.
	Page   func(ctx context.Context, zone, token string) (ListPage, error)
	Rate   func() float64 // calls a second that the list takes from all; 0 for no bound
	MaxLag time.Duration  // what it tells may be so old
}

// ListPage is one page of a list: workers by pool, and which page follows; empty on the last.
type ListPage struct {
	Workers map[string][]config.Worker
	Next    string
}

// listController reads a source and writes what it tells into the pools' lists. One manager does: all
// calls come out of one rate, so that several readers would be no faster, and each key has one
// writer.
//
// Invariants: mu guards all below it; roster, plan and pools are nil while this manager is not the
// reader; written has each key as this manager last wrote it, since the view may be behind.
type listController struct {
	m     *Manager
	edits pond.Pool
	wake  chan struct{} // a read is complete

	mu              sync.Mutex
	roster          *workerlist.Roster
	plan            *workerlist.Plan
	readers         map[*workerlist.Cursor]context.CancelFunc
	completedReads  []completedRead // complete reads that are not written yet
	written         map[string]listVersion
	pools           map[string]*poolList
	restoredZones   map[string]restoredZone
	isFailing       map[*workerlist.Cursor]bool
	loggedRejects   map[string]bool // by pool and name: entries that a list may not hold, of which the log tells
	refusedCalls    int             // calls since the reading began
	refusalLoggedAt time.Duration   // when that was last logged
}

// passed is a complete read.
type completedRead struct {
	zone  string // empty for all
	began time.Duration
}

// maxConcurrentListEdits is how many keys of lists are written at once.
const maxConcurrentListEdits = 32

func newListController(m *Manager) *listController {
	return &listController{m: m, edits: pond.NewPool(maxConcurrentListEdits), wake: make(chan struct{}, 1)}
}

// run runs the lister until ctx ends.
func (l *listController) run(ctx context.Context) {
	ticker := time.NewTicker(l.m.d.Bounds.Of(timing.ListInterval))
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-l.wake:
		}
		l.runRound(ctx)
	}
}

// runRound reads and writes, if this manager is the one that does. Should two think so, the revisions
// let one win.
func (l *listController) runRound(ctx context.Context) {
	if l.prepare() {
		l.startReaders(ctx)
		l.flush(ctx)
	}
}

// prepare reports whether this manager is the reader now, and has it begin or let go.
func (l *listController) prepare() bool {
	if !l.isReader() {
		l.stop()
		return false
	}
	l.start()
	l.trackRestoredZones()
	return true
}

// flush writes what was read.
func (l *listController) flush(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, l.m.d.Bounds.ConfigApply)
	defer cancel()
	reads := l.takeCompletedReads()
	if !l.write(ctx, len(reads) > 0) {
		l.requeueCompletedReads(reads)
		return
	}
	for _, read := range reads {
		l.clearCoveredRestores(ctx, read)
	}
}

// isReader reports whether this manager reads the source.
func (l *listController) isReader() bool {
	managers := []string{}
	for _, who := range l.m.d.Membership.OfKind("manager") {
		managers = append(managers, who.Name)
	}
	return l.m.d.IsFresh() && duty.HighestRanked("list", managers) == l.m.d.Who.Name
}

// stop lets the reading go.
func (l *listController) stop() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, cancel := range l.readers {
		cancel()
	}
	l.roster, l.plan, l.readers, l.completedReads, l.isFailing = nil, nil, nil, nil, nil
	l.written, l.pools, l.restoredZones, l.loggedRejects, l.refusedCalls = nil, nil, nil, nil, 0
}

// start takes the reading up: what the view has is known, until reads leave it out.
func (l *listController) start() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.roster != nil {
		return
	}
	klog.Infof("list: This manager reads the source of workers.")
	l.roster, l.plan = workerlist.NewRoster(), workerlist.NewPlan(l.m.d.Bounds.Of(timing.ListInterval))
	l.readers, l.isFailing, l.loggedRejects = map[*workerlist.Cursor]context.CancelFunc{}, map[*workerlist.Cursor]bool{}, map[string]bool{}
	l.written, l.pools = map[string]listVersion{}, map[string]*poolList{}
	compiled, now := l.m.configs.Current(), l.m.d.Now()
	for name, pool := range compiled.Rules.Pools {
		if pool.IsEndpoint {
			continue
		}
		for _, w := range compiled.Workers[name].All() {
			l.roster.Record(name, w, now)
		}
	}
	l.roster.Changed() // the view has it
}

func (l *listController) takeCompletedReads() []completedRead {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := l.completedReads
	l.completedReads = nil
	return out
}

func (l *listController) requeueCompletedReads(reads []completedRead) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.completedReads = append(reads, l.completedReads...)
}

// addCounts adds to what the manager tells of itself: the age of each list that it reads, in
// milliseconds, and how many calls were refused.
func (l *listController) addCounts(counts map[string]int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.plan == nil {
		return
	}
	now := l.m.d.Now()
	for _, c := range l.plan.Cursors() {
		counts[ListAgePrefix+c.Zone] = -1
		if age, isRead := c.Age(now); isRead {
			counts[ListAgePrefix+c.Zone] = age.Milliseconds()
		}
	}
	counts[ListRefusedCount] = int64(l.refusedCalls)
}

// The counts by which a manager tells of its reading. ListAgePrefix is followed by the zone that a list
// is of, none for all zones; its figure is the age of the newest complete read in milliseconds, -1
// where there is none yet.
const (
	ListAgePrefix    = "list_age_ms "
	ListRefusedCount = "list_refused"
)
