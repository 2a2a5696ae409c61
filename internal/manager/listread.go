package manager

import (
	"context"

	"github.com/prometheus/client_golang/prometheus"
	"k8s.io/klog/v2"

	"caperwheel/internal/config"
	"caperwheel/internal/daemon"
	"caperwheel/internal/errs"
	"caperwheel/internal/timing"
	"caperwheel/internal/workerlist"
)

var listCalls = prometheus.NewCounterVec(prometheus.CounterOpts{Namespace: "caperwheel", Subsystem: "list",
	Name: "calls_total", Help: "Pages of the list of workers asked for, by what came of them: page, refused or failed."}, []string{"end"})

var rejectedEntries = prometheus.NewCounterVec(prometheus.CounterOpts{Namespace: "caperwheel", Subsystem: "list",
	Name: "entries_left_out_total", Help: "Entries read that a list of workers may not hold, by pool."}, []string{"pool"})

func init() { prometheus.MustRegister(listCalls, rejectedEntries) }

// startReaders starts a reader for each list of the plan that has none, and cancels the others.
func (l *listController) startReaders(ctx context.Context) {
	l.mu.Lock()
	defer l.mu.Unlock()
	wanted := map[*workerlist.Cursor]bool{}
	for _, c := range l.plan.Cursors() {
		wanted[c] = true
		if l.readers[c] == nil {
			readCtx, cancel := context.WithCancel(ctx)
			l.readers[c] = cancel
			go l.readList(readCtx, c)
		}
	}
	for c, cancel := range l.readers {
		if !wanted[c] {
			cancel()
			delete(l.readers, c)
			delete(l.isFailing, c)
		}
	}
}

// readList reads the pages of one list repeatedly until ctx ends.
func (l *listController) readList(ctx context.Context, c *workerlist.Cursor) {
	for ctx.Err() == nil {
		l.mu.Lock()
		wait := c.Delay(l.m.d.Now())
		l.mu.Unlock()
		timing.Wait(ctx, wait)
		if ctx.Err() == nil {
			l.readPage(ctx, c)
		}
	}
}

// readPage requests one page and merges it into the roster.
func (l *listController) readPage(ctx context.Context, c *workerlist.Cursor) {
	asked := l.m.d.Now()
	l.mu.Lock()
	token := c.NextToken(asked)
	l.mu.Unlock()
	page, err := l.m.source.Page(ctx, c.Zone, token)
	l.mu.Lock()
	defer l.mu.Unlock()
	if ctx.Err() != nil || l.plan == nil {
		return
	}
	l.recordCall(c, err)
	period, now := l.plan.Period(c, l.rate()), l.m.d.Now()
	if err != nil {
		c.PageFailed(errs.KindOf(err), now, period, l.m.d.Bounds.Of(timing.SettleTimeout))
		return
	}
	for pool, list := range page.Workers {
		for _, w := range l.validEntries(pool, list) {
			l.roster.Record(pool, w, asked)
		}
	}
	if c.PageReceived(page.Next, now, period, l.plan.Interval()) {
		l.roster.ReadCompleted(c.Zone, c.LastReadAt)
		l.completedReads = append(l.completedReads, completedRead{c.Zone, c.LastReadAt})
		l.plan.Replan(l.roster.Zones(), l.rate())
		select {
		case l.wake <- struct{}{}:
		default:
		}
	}
}

// rate returns the rate limit of the source, in calls per second; 0 for none.
func (l *listController) rate() float64 {
	if l.m.source.Rate == nil {
		return 0
	}
	return l.m.source.Rate()
}

// refusalLogBounds is the minimum interval between two log lines on refused calls, in configuration
// bounds.
const refusalLogBounds = 10

// recordCall counts a call, and logs when a list becomes unreadable or readable again.
func (l *listController) recordCall(c *workerlist.Cursor, err error) {
	name, now := listName(c), l.m.d.Now()
	switch {
	case err == nil:
		listCalls.WithLabelValues("page").Inc()
	case errs.Is(err, errs.Full):
		listCalls.WithLabelValues("refused").Inc()
		l.refusedCalls++
		if l.refusalLoggedAt == 0 || now-l.refusalLoggedAt > refusalLogBounds*l.m.d.Bounds.ConfigApply {
			l.refusalLoggedAt = now
			klog.Infof("list: %s refuses calls over its rate, %d so far; the read continues with the same page.", name, l.refusedCalls)
		}
		return
	default:
		listCalls.WithLabelValues("failed").Inc()
	}
	if isLost := err != nil; isLost != l.isFailing[c] {
		l.isFailing[c] = isLost
		if isLost {
			klog.Warningf("list: %s cannot be read, so the workers stay as listed: %v.", name, err)
		} else {
			klog.Infof("list: %s can be read again.", name)
		}
	}
}

// listName returns the name of a list in log lines.
func listName(c *workerlist.Cursor) string {
	if c.Zone == "" {
		return "The list of all zones"
	}
	return "The list of zone " + c.Zone
}

// emitMetrics emits the age of each list that this manager reads, and how long its last read took, in
// seconds.
func (l *listController) emitMetrics(emit daemon.Emit) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.plan == nil {
		return
	}
	for _, c := range l.plan.Cursors() {
		if age, isRead := c.Age(l.m.d.Now()); isRead {
			emit("list_age_seconds", "Age of the newest complete read of the list of workers, by zone; no zone is all.", age.Seconds(), "zone", c.Zone)
			emit("list_read_seconds", "How long the newest complete read of the list of workers took, by zone.", c.LastReadTook.Seconds(), "zone", c.Zone)
		}
	}
}

// validEntries returns the entries without invalid and duplicate ones. It is called with mu held.
func (l *listController) validEntries(pool string, list []config.Worker) []config.Worker {
	out, seen := []config.Worker{}, map[string]bool{}
	for _, w := range list {
		if faults := w.Check(); len(faults) > 0 || seen[w.Name] {
			l.rejectEntry(pool, w, faults)
			continue
		}
		seen[w.Name] = true
		out = append(out, w)
	}
	return out
}

// maxLoggedRejects bounds the rejected workers that are remembered, so that each is logged once.
const maxLoggedRejects = 100

// rejectEntry counts a worker that gets no work because its entry is invalid, and logs it once.
func (l *listController) rejectEntry(pool string, w config.Worker, faults []config.Fault) {
	rejectedEntries.WithLabelValues(pool).Inc()
	key := pool + "/" + w.Name
	if l.loggedRejects[key] || len(l.loggedRejects) >= maxLoggedRejects {
		return
	}
	l.loggedRejects[key] = true
	klog.Warningf("list: The entry of worker %q in pool %s is invalid, so the worker gets no work: %v.", w.Name, pool, faults)
}
