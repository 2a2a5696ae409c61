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

// Source is a paged list of the workers of all pools, kept by the platform.
type Source struct {
	// Page reads one page of the list. An empty zone means all zones, and an empty token the first page.
	// errs.Full means that the call was refused by the list's rate limit.
	Page   func(ctx context.Context, zone, token string) (ListPage, error)
	Rate   func() float64 // calls per second that the list accepts from all callers; 0 for no limit
	MaxLag time.Duration  // how far the list may lag behind
}

// ListPage is one page of a list: workers by pool, and the token of the next page; empty on the last.
type ListPage struct {
	Workers map[string][]config.Worker
	Next    string
}

// listController reads a source and writes its workers into the pools' lists. Only one manager does
// so: all calls share one rate limit, so several readers would be no faster, and each key has one
// writer.
//
// Invariants: mu guards all fields below it; roster, plan and pools are nil while this manager is not
// the reader; written holds each key as this manager last wrote it, since the view may be behind.
type listController struct {
	m     *Manager
	edits pond.Pool
	wake  chan struct{} // signals a completed read

	mu              sync.Mutex
	roster          *workerlist.Roster
	plan            *workerlist.Plan
	readers         map[*workerlist.Cursor]context.CancelFunc
	completedReads  []completedRead // completed reads that are not written yet
	written         map[string]listVersion
	pools           map[string]*poolList
	restoredZones   map[string]restoredZone
	isFailing       map[*workerlist.Cursor]bool
	loggedRejects   map[string]bool // by pool and name: invalid entries that were logged
	refusedCalls    int             // calls refused since this manager became the reader
	refusalLoggedAt time.Duration   // when a refused call was last logged
}

// completedRead is a read of all pages of a list.
type completedRead struct {
	zone  string // empty for all zones
	began time.Duration
}

// maxConcurrentListEdits bounds how many keys of lists are written at once.
const maxConcurrentListEdits = 32

func newListController(m *Manager) *listController {
	return &listController{m: m, edits: pond.NewPool(maxConcurrentListEdits), wake: make(chan struct{}, 1)}
}

// run reads and writes the lists until ctx ends.
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

// runRound reads and writes if this manager is the reader. If two managers both act as the reader, the
// compare and set on revisions lets one of them win.
func (l *listController) runRound(ctx context.Context) {
	if l.prepare() {
		l.startReaders(ctx)
		l.flush(ctx)
	}
}

// prepare reports whether this manager is the reader now, and starts or stops the reading accordingly.
func (l *listController) prepare() bool {
	if !l.isReader() {
		l.stop()
		return false
	}
	l.start()
	l.trackRestoredZones()
	return true
}

// flush writes what was read to the pools' lists.
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

// stop cancels the readers and drops all state of the reading.
func (l *listController) stop() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, cancel := range l.readers {
		cancel()
	}
	l.roster, l.plan, l.readers, l.completedReads, l.isFailing = nil, nil, nil, nil, nil
	l.written, l.pools, l.restoredZones, l.loggedRejects, l.refusedCalls = nil, nil, nil, nil, 0
}

// start begins the reading: the workers in the view count as listed until reads no longer return them.
func (l *listController) start() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.roster != nil {
		return
	}
	klog.Infof("list: This manager reads the source of the worker lists from now on.")
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
	l.roster.Changed() // the view holds these already: they are no changes
}

// takeCompletedReads returns the completed reads that are not written yet, and removes them from the queue.
func (l *listController) takeCompletedReads() []completedRead {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := l.completedReads
	l.completedReads = nil
	return out
}

// requeueCompletedReads puts completed reads whose write has failed back at the head of the queue.
func (l *listController) requeueCompletedReads(reads []completedRead) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.completedReads = append(reads, l.completedReads...)
}

// addCounts adds to the counts that the manager reports: the age in milliseconds of each list that it
// reads, and how many calls were refused.
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

// Names of the counts that the reading manager reports. ListAgePrefix is followed by the list's zone,
// or by nothing for the list of all zones; the value is the age of the newest completed read in
// milliseconds, -1 if there is none yet.
const (
	ListAgePrefix    = "list_age_ms "
	ListRefusedCount = "list_refused"
)
