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

// listVersion is the content of one key of a pool's list at a revision.
type listVersion struct {
	revision  int64
	list      []config.Worker
	isRemoved bool // the key was removed; revision is that of the removal
}

// poolList is the state of writing one pool's list.
type poolList struct {
	bucketCount  int           // buckets that the list is split into
	isVerified   bool          // each bucket was compared with the stored one since the last failure
	newWorkersAt time.Duration // new workers are not written before, unless a read has completed
}

// newWorkersDelayFactor is how many times the duration of the last write new workers wait for the next
// one. Workers are spread over all keys of a list, so while a long list is read for the first time
// each write covers all keys: without a delay, the bytes written grow with the square of the list.
const newWorkersDelayFactor = 4

// splitDue splits the changed workers into those to write now and those that wait. A change of a worker
// that was written before never waits.
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

// write updates the pools' lists to what was read. With isAll every bucket is compared with the stored
// one, otherwise only those with changes. It reports whether all lists are known to be up to date.
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

// poolListOf returns the state of a pool's list. Only the writing goroutine changes it.
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

// writePool writes the changed buckets of a pool's list, and then removes the keys of any other bucket
// count.
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

// writeBuckets compares the buckets with changes, or all of them with isAll, and writes each one that
// differs from the stored one.
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

// storedKeys returns the keys of a pool's list that the view holds or this manager has written.
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

// maxBucketCount returns the largest bucket count among the keys of a list.
func maxBucketCount(keys []string) int {
	most := 0
	for _, key := range keys {
		_, count := config.ParseListKey(key)
		most = max(most, count)
	}
	return most
}

// removeOldBuckets removes the keys of a list that belong to another bucket count.
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

// baseList returns a key's list as the view has it, or as this manager last wrote it if that is newer.
func (l *listController) baseList(pool, key string) listVersion {
	c, exists := l.m.d.View.Get(feed.PartOf(pool, l.m.d.Settings.Parts), key)
	l.mu.Lock()
	defer l.mu.Unlock()
	if was, isWritten := l.written[key]; isWritten && was.revision >= c.Revision {
		if was.isRemoved {
			return listVersion{}
		}
		return was
	}
	if !exists {
		return listVersion{}
	}
	list, _ := config.ReadWorkers(c.Value)
	return listVersion{revision: c.Revision, list: list.Workers}
}

// writeKey writes or removes one key of a pool's list, and reports whether that is confirmed.
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
	if l.written == nil { // the reading was stopped meanwhile
		return false
	}
	if err != nil {
		delete(l.written, key)
		if !errs.Is(err, errs.Conflict) {
			klog.Warningf("list: The list of pool %s cannot be written; the write is repeated: %v.", pool, err)
		}
		return false
	}
	l.written[key] = listVersion{newRevision, list, isGone}
	return true
}
