package manager

import (
	"context"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/alitto/pond/v2"
	"k8s.io/klog/v2"

	"caperwheel/internal/config"
	"caperwheel/internal/duty"
	"caperwheel/internal/errs"
	"caperwheel/internal/feed"
	"caperwheel/internal/timing"
	"caperwheel/internal/wire"
)

// Source tells which workers there are, by pool. Workers tells of all or fails:
// errs.Full means that it has been asked too often.
type Source struct {
	Workers func(ctx context.Context) (map[string][]config.Worker, error)
	Lag     time.Duration // what it tells may be so old
}

// lister writes what a source tells into the pools' lists. It is used by one
// goroutine; mu guards written, which a turn's edits share.
//
// Invariants: written has each pool's list as this manager last wrote it, since
// the view may be behind; missed has the workers that the last read left out.
type lister struct {
	m       *Manager
	edits   pond.Pool
	mu      sync.Mutex
	written map[string]writtenList
	missed  map[string]bool
	easing  map[string]ease
	resting int // turns left out, since the source was asked too often
	pause   int
	isLost  bool
}

type writtenList struct {
	revision int64
	list     []config.Worker
}

// ease is what is known of a restored zone. Invariant: settledAt is a moment
// after a read that began later than the source's lag behind seenAt was written.
type ease struct {
	revision  int64
	seenAt    time.Duration
	isSettled bool
	settledAt time.Duration
}

// mostPause bounds how many turns are left out.
const mostPause = 7

func newLister(m *Manager) *lister { return &lister{m: m, edits: pond.NewPool(8)} }

func (m *Manager) controlLists(ctx context.Context) {
	l := newLister(m)
	timing.Every(ctx, m.d.Bounds.Of(timing.ListInterval), func() { l.turn(ctx) })
}

// turn reads the source once, if this manager is the one that does. Should two
// think so, the revisions let one win.
func (l *lister) turn(ctx context.Context) {
	managers := []string{}
	for _, who := range l.m.d.Membership.Kind("manager") {
		managers = append(managers, who.Name)
	}
	if !l.m.d.IsFresh() || duty.First("list", managers) != l.m.d.Who.Name {
		l.written, l.missed, l.easing = nil, nil, nil
		return
	}
	if l.resting > 0 {
		l.resting--
		return
	}
	ctx, cancel := context.WithTimeout(ctx, l.m.d.Bounds.Config)
	defer cancel()
	began := l.m.d.Now()
	compiled := l.m.configs.Current()
	l.seeEasing()
	got, err := l.m.source.Workers(ctx)
	if !l.hasRead(err) {
		return
	}
	if l.write(ctx, compiled, got) {
		l.settle(ctx, began)
	}
}

// hasRead reports whether a read counts, and says once when that changes.
func (l *lister) hasRead(err error) bool {
	if errs.Is(err, errs.Full) {
		l.pause = min(2*l.pause+1, mostPause)
		l.resting = l.pause
		return false
	}
	l.pause = 0
	if isLost := err != nil; isLost != l.isLost {
		l.isLost = isLost
		if isLost {
			klog.Warningf("list: The source of workers cannot be read: %v.", err)
		} else {
			klog.Infof("list: The source of workers can be read again.")
		}
	}
	return err == nil
}

// write brings the pools' lists to what was read; false if one is not known to
// be there yet.
func (l *lister) write(ctx context.Context, compiled *config.Compiled, got map[string][]config.Worker) bool {
	group, missed, isWhole := l.edits.NewGroup(), map[string]bool{}, true
	if l.written == nil {
		l.written = map[string]writtenList{}
	}
	for name, pool := range compiled.Rules.Pools {
		if pool.IsEndpoint {
			continue
		}
		base := l.base(name)
		next := l.join(name, base.list, healthy(got[name]), missed)
		if slices.Equal(base.list, next) {
			continue
		}
		group.Submit(func() {
			isWritten := l.put(ctx, name, base.revision, next)
			l.mu.Lock()
			defer l.mu.Unlock()
			isWhole = isWhole && isWritten
		})
	}
	_ = group.Wait()
	l.missed = missed
	return isWhole
}

// join keeps a worker that only one read has left out: a page may have moved
// under it.
func (l *lister) join(pool string, base, read []config.Worker, missed map[string]bool) []config.Worker {
	for _, w := range base {
		if slices.ContainsFunc(read, func(x config.Worker) bool { return x.Name == w.Name }) {
			continue
		}
		missed[pool+"/"+w.Name] = true
		if !l.missed[pool+"/"+w.Name] {
			read = append(read, w)
		}
	}
	slices.SortFunc(read, func(a, b config.Worker) int { return strings.Compare(a.Name, b.Name) })
	return read
}

// healthy drops what a list may not hold.
func healthy(list []config.Worker) []config.Worker {
	out, seen := []config.Worker{}, map[string]bool{}
	for _, w := range list {
		one, faults := config.ReadWorkers(config.Workers{Workers: []config.Worker{w}}.Encode())
		if len(faults) > 0 || seen[w.Name] {
			klog.V(2).Infof("list: Worker %q is left out: %v.", w.Name, faults)
			continue
		}
		seen[w.Name] = true
		out = append(out, one.Workers...)
	}
	return out
}

// base gives a pool's list as the view has it, or as last written here.
func (l *lister) base(pool string) writtenList {
	c, isStanding := l.m.d.View.Get(feed.PartOf(pool, l.m.d.Settings.Parts), config.WorkersKey+pool)
	l.mu.Lock()
	defer l.mu.Unlock()
	if was, isWritten := l.written[pool]; isWritten && was.revision >= c.Revision {
		return was
	}
	out := writtenList{list: []config.Worker{}}
	if isStanding {
		list, _ := config.ReadWorkers(c.Value)
		out = writtenList{c.Revision, list.Workers}
	}
	return out
}

func (l *lister) put(ctx context.Context, pool string, revision int64, list []config.Worker) bool {
	held, err := l.m.edit(ctx, wire.Edit{Part: feed.PartOf(pool, l.m.d.Settings.Parts), Key: config.WorkersKey + pool,
		Value: config.Workers{Workers: list}.Encode(), IfRevision: revision, By: "list controller at " + l.m.d.Who.Name})
	l.mu.Lock()
	defer l.mu.Unlock()
	if err != nil {
		delete(l.written, pool)
		if !errs.Is(err, errs.Conflict) {
			klog.Warningf("list: The list of %s cannot be written: %v.", pool, err)
		}
		return false
	}
	l.written[pool] = writtenList{held, list}
	return true
}

// seeEasing notes which restored zones' workers still count as cold.
func (l *lister) seeEasing() {
	now, next := l.m.d.Now(), map[string]ease{}
	for _, c := range l.m.d.View.Keys(config.ZoneKey) {
		if config.ReadOrder(c.Value).Only != config.OnlyCold {
			continue
		}
		was, isKnown := l.easing[c.Key]
		if !isKnown || was.revision != c.Revision {
			was = ease{revision: c.Revision, seenAt: now}
		}
		next[c.Key] = was
	}
	l.easing = next
}

// settle takes the orders of restored zones away: after a read that began later
// than the lag behind the restoring was written, every daemon that still acts
// has seen what was written, and the restoring is not sent again any more.
func (l *lister) settle(ctx context.Context, began time.Duration) {
	for key, e := range l.easing {
		switch now := l.m.d.Now(); {
		case !e.isSettled && began-e.seenAt > l.m.source.Lag:
			e.isSettled, e.settledAt = true, now
			l.easing[key] = e
		case e.isSettled && now-e.settledAt > l.m.d.Bounds.Of(timing.Fresh) && now-e.seenAt > l.m.resend:
			_, err := l.m.edit(ctx, wire.Edit{Part: feed.ConfigPart, Key: key, IfRevision: e.revision, Gone: true,
				By: "list controller at " + l.m.d.Who.Name})
			if err != nil && !errs.Is(err, errs.Conflict) {
				klog.Warningf("list: The mark %s cannot be taken away: %v.", key, err)
			}
		}
	}
}
