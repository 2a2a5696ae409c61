package manager

import (
	"context"
	"slices"
	"time"

	"k8s.io/klog/v2"

	"caperwheel/internal/config"
	"caperwheel/internal/errs"
	"caperwheel/internal/feed"
	"caperwheel/internal/wire"
)

// writtenList is a list as it stands at a key.
type writtenList struct {
	revision int64
	list     []config.Worker
	isGone   bool // it was taken away: revision is that of the change
}

// listedPool is how a pool's list is written.
type listedPool struct {
	buckets int           // into how many it is cut
	isWhole bool          // each bucket has been compared with what stands, since the newest failure
	newAt   time.Duration // new workers wait until then, unless a read is complete
}

// newWorkersRest is for how many times as long as the newest write took new workers wait for the next
// one. Workers of a list are spread over all its keys, so while a long list is first read each write is one
// of all keys: without a rest, their bytes grow with the square of the list.
const newWorkersRest = 4

// due parts what has changed into what is written now and what waits. A change of a worker that was told
// of before never waits.
func (p *listedPool) due(changed map[string]bool, isAll bool, now time.Duration) (due, waiting map[string]bool) {
	if isAll || now >= p.newAt {
		return changed, nil
	}
	due, waiting = map[string]bool{}, map[string]bool{}
	for name, isKnown := range changed {
		if isKnown {
			due[name] = true
		} else {
			waiting[name] = false
		}
	}
	return due, waiting
}

// write brings the pools' lists to what was read; with isAll everything is compared with what
// stands, else only what has changed. It reports whether all of it is known to stand.
func (l *lister) write(ctx context.Context, isAll bool) bool {
	compiled, isWhole := l.m.configs.Current(), true
	l.mu.Lock()
	changed := l.roster.Changed()
	l.mu.Unlock()
	for name, pool := range compiled.Rules.Pools {
		if pool.IsEndpoint {
			continue
		}
		due, waiting := l.pool(name).due(changed[name], isAll, l.m.d.Now())
		isWritten := l.writePool(ctx, name, due, isAll)
		l.mu.Lock()
		l.roster.Keep(name, waiting)
		if !isWritten {
			isWhole = false
			l.roster.Keep(name, due)
		}
		l.mu.Unlock()
	}
	return isWhole
}

// pool returns how a pool's list is written. Only the goroutine that writes changes it.
func (l *lister) pool(name string) *listedPool {
	l.mu.Lock()
	defer l.mu.Unlock()
	p := l.pools[name]
	if p == nil {
		p = &listedPool{}
		l.pools[name] = p
	}
	return p
}

// writePool writes the buckets of a pool's list that have changed, and then takes away what
// stands of another number of buckets.
func (l *lister) writePool(ctx context.Context, pool string, changed map[string]bool, isAll bool) bool {
	p, began := l.pool(pool), l.m.d.Now()
	l.mu.Lock()
	if len(changed) == 0 && !isAll && p.isWhole {
		l.mu.Unlock()
		return true
	}
	workers := l.roster.Pool(pool)
	l.mu.Unlock()
	standing := l.standing(pool)
	count := config.Buckets(len(workers), max(p.buckets, mostCount(standing)))
	if count != p.buckets || !p.isWhole {
		isAll = true
	}
	p.buckets = count
	p.isWhole = l.writeBuckets(ctx, pool, count, workers, changed, isAll) && l.takeAway(ctx, pool, count, standing)
	p.newAt = l.m.d.Now() + newWorkersRest*(l.m.d.Now()-began)
	return p.isWhole
}

// writeBuckets writes each bucket that is to be compared and differs from what stands.
func (l *lister) writeBuckets(ctx context.Context, pool string, count int, workers []config.Worker, changed map[string]bool, isAll bool) bool {
	buckets, isDue := make([][]config.Worker, count), make([]bool, count)
	for _, w := range workers {
		at := config.BucketOf(w.Name, count)
		buckets[at] = append(buckets[at], w)
	}
	for name := range changed {
		isDue[config.BucketOf(name, count)] = true
	}
	group, results := l.edits.NewGroup(), make([]bool, count)
	for i, list := range buckets {
		key := config.BucketKey(pool, i, count)
		base := l.base(pool, key)
		if !isAll && !isDue[i] || slices.Equal(base.list, list) {
			results[i] = true
			continue
		}
		group.Submit(func() { results[i] = l.put(ctx, pool, key, base.revision, list, false) })
	}
	_ = group.Wait()
	return !slices.Contains(results, false)
}

// standing lists the keys of a pool's list that stand, and those last written here.
func (l *lister) standing(pool string) []string {
	out := []string{}
	for _, c := range l.m.d.View.Keys(config.WorkersKey + pool) {
		if of, _ := config.PoolOfList(c.Key); of == pool {
			out = append(out, c.Key)
		}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	for key := range l.written {
		if of, _ := config.PoolOfList(key); of == pool && !slices.Contains(out, key) {
			out = append(out, key)
		}
	}
	return out
}

func mostCount(keys []string) int {
	most := 0
	for _, key := range keys {
		_, count := config.PoolOfList(key)
		most = max(most, count)
	}
	return most
}

// takeAway takes the keys of other numbers of buckets away.
func (l *lister) takeAway(ctx context.Context, pool string, count int, standing []string) bool {
	isDone := true
	for _, key := range standing {
		if _, other := config.PoolOfList(key); other == count {
			continue
		}
		if base := l.base(pool, key); base.revision > 0 {
			isDone = l.put(ctx, pool, key, base.revision, nil, true) && isDone
		}
	}
	return isDone
}

// base gives a list as the view has it, or as last written here.
func (l *lister) base(pool, key string) writtenList {
	c, isStanding := l.m.d.View.Get(feed.PartOf(pool, l.m.d.Settings.Parts), key)
	l.mu.Lock()
	defer l.mu.Unlock()
	if was, isWritten := l.written[key]; isWritten && was.revision >= c.Revision {
		if was.isGone {
			return writtenList{}
		}
		return was
	}
	if !isStanding {
		return writtenList{}
	}
	list, _ := config.ReadWorkers(c.Value)
	return writtenList{revision: c.Revision, list: list.Workers}
}

func (l *lister) put(ctx context.Context, pool, key string, revision int64, list []config.Worker, isGone bool) bool {
	if list == nil {
		list = []config.Worker{}
	}
	edit := wire.Edit{Part: feed.PartOf(pool, l.m.d.Settings.Parts), Key: key, IfRevision: revision, Gone: isGone,
		By: "list controller at " + l.m.d.Who.Name}
	if !isGone {
		edit.Value = config.Workers{Workers: list}.Encode()
	}
	held, err := l.m.edit(ctx, edit)
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.written == nil { // the reading was let go meanwhile
		return false
	}
	if err != nil {
		delete(l.written, key)
		if !errs.Is(err, errs.Conflict) {
			klog.Warningf("list: The list of %s cannot be written: %v.", pool, err)
		}
		return false
	}
	l.written[key] = writtenList{held, list, isGone}
	return true
}
