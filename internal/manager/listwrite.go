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

// listVersion is a list as it stands at a key.
type listVersion struct {
	revision  int64
	list      []config.Worker
	isRemoved bool // it was taken away: revision is that of the change
}

// poolList is how a pool's list is written.
type poolList struct {
	bucketCount  int           // into how many it is cut
	isVerified   bool          // each bucket has been compared with what stands, since the newest failure
	newWorkersAt time.Duration // new workers wait until then, unless a read is complete
}

// newWorkersDelayFactor is for how many times as long as the newest write took new workers wait for the next
// one. Workers of a list are spread over all its keys, so while a long list is first read each write is one
// of all keys: without a rest, their bytes grow with the square of the list.
const newWorkersDelayFactor = 4

// splitDue parts what has changed into what is written now and what waits. A change of a worker that was told
// of before never waits.
func (p *poolList) splitDue(changed map[string]bool, isAll bool, now time.Duration) (due, waiting map[string]bool) {
	if isAll || now >= p.newWorkersAt {
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
func (l *listController) write(ctx context.Context, isAll bool) bool {
	compiled, isWhole := l.m.configs.Current(), true
	l.mu.Lock()
	changed := l.roster.Changed()
	l.mu.Unlock()
	for name, pool := range compiled.Rules.Pools {
		if pool.IsEndpoint {
			continue
		}
		due, waiting := l.poolListOf(name).splitDue(changed[name], isAll, l.m.d.Now())
		isWritten := l.writePool(ctx, name, due, isAll)
		l.mu.Lock()
		l.roster.Requeue(name, waiting)
		if !isWritten {
			isWhole = false
			l.roster.Requeue(name, due)
		}
		l.mu.Unlock()
	}
	return isWhole
}

// pool returns how a pool's list is written. Only the goroutine that writes changes it.
func (l *listController) poolListOf(name string) *poolList {
	l.mu.Lock()
	defer l.mu.Unlock()
	p := l.pools[name]
	if p == nil {
		p = &poolList{}
		l.pools[name] = p
	}
	return p
}

// writePool writes the buckets of a pool's list that have changed, and then takes away what
// stands of another number of buckets.
func (l *listController) writePool(ctx context.Context, pool string, changed map[string]bool, isAll bool) bool {
	p, began := l.poolListOf(pool), l.m.d.Now()
	l.mu.Lock()
	if len(changed) == 0 && !isAll && p.isVerified {
		l.mu.Unlock()
		return true
	}
	workers := l.roster.Pool(pool)
	l.mu.Unlock()
	storedKeys := l.storedKeys(pool)
	count := config.BucketCount(len(workers), max(p.bucketCount, maxBucketCount(storedKeys)))
	if count != p.bucketCount || !p.isVerified {
		isAll = true
	}
	p.bucketCount = count
	p.isVerified = l.writeBuckets(ctx, pool, count, workers, changed, isAll) && l.removeOldBuckets(ctx, pool, count, storedKeys)
	p.newWorkersAt = l.m.d.Now() + newWorkersDelayFactor*(l.m.d.Now()-began)
	return p.isVerified
}

// writeBuckets writes each bucket that is to be compared and differs from what stands.
func (l *listController) writeBuckets(ctx context.Context, pool string, count int, workers []config.Worker, changed map[string]bool, isAll bool) bool {
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
		base := l.baseList(pool, key)
		if !isAll && !isDue[i] || slices.Equal(base.list, list) {
			results[i] = true
			continue
		}
		group.Submit(func() { results[i] = l.writeKey(ctx, pool, key, base.revision, list, false) })
	}
	_ = group.Wait()
	return !slices.Contains(results, false)
}

// standing lists the keys of a pool's list that stand, and those last written here.
func (l *listController) storedKeys(pool string) []string {
	out := []string{}
	for _, c := range l.m.d.View.Keys(config.WorkersKey + pool) {
		if of, _ := config.ParseListKey(c.Key); of == pool {
			out = append(out, c.Key)
		}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	for key := range l.written {
		if of, _ := config.ParseListKey(key); of == pool && !slices.Contains(out, key) {
			out = append(out, key)
		}
	}
	return out
}

func maxBucketCount(keys []string) int {
	most := 0
	for _, key := range keys {
		_, count := config.ParseListKey(key)
		most = max(most, count)
	}
	return most
}

// removeOldBuckets takes the keys of other numbers of buckets away.
func (l *listController) removeOldBuckets(ctx context.Context, pool string, count int, storedKeys []string) bool {
	isDone := true
	for _, key := range storedKeys {
		if _, other := config.ParseListKey(key); other == count {
			continue
		}
		if base := l.baseList(pool, key); base.revision > 0 {
			isDone = l.writeKey(ctx, pool, key, base.revision, nil, true) && isDone
		}
	}
	return isDone
}

// base gives a list as the view has it, or as last written here.
func (l *listController) baseList(pool, key string) listVersion {
	c, isStanding := l.m.d.View.Get(feed.PartOf(pool, l.m.d.Settings.Parts), key)
	l.mu.Lock()
	defer l.mu.Unlock()
	if was, isWritten := l.written[key]; isWritten && was.revision >= c.Revision {
		if was.isRemoved {
			return listVersion{}
		}
		return was
	}
	if !isStanding {
		return listVersion{}
	}
	list, _ := config.ReadWorkers(c.Value)
	return listVersion{revision: c.Revision, list: list.Workers}
}

func (l *listController) writeKey(ctx context.Context, pool, key string, revision int64, list []config.Worker, isGone bool) bool {
	if list == nil {
		list = []config.Worker{}
	}
	edit := wire.Edit{Part: feed.PartOf(pool, l.m.d.Settings.Parts), Key: key, IfRevision: revision, Gone: isGone,
		By: "list controller at " + l.m.d.Who.Name}
	if !isGone {
		edit.Value = config.Workers{Workers: list}.Encode()
	}
	newRevision, err := l.m.edit(ctx, edit)
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
	l.written[key] = listVersion{newRevision, list, isGone}
	return true
}
