package quota

import (
	"maps"
	"slices"

	"caperwheel/internal/errs"
	"caperwheel/internal/wire"
)

// evictionIntervalMs is the interval at which unused buckets are evicted, in milliseconds of place time.
const evictionIntervalMs = 2_000

// Allocator holds the token buckets of the tenants that one place counts. It is replicated state: the result of Apply
// depends only on the state, the time and the batch, bit for bit.
type Allocator struct {
	buckets   map[string]*bucket
	evictedAt int64
}

// NewAllocator returns an allocator without buckets.
func NewAllocator() *Allocator { return &Allocator{buckets: map[string]*bucket{}} }

// IsEmpty reports whether there is no bucket.
func (l *Allocator) IsEmpty() bool { return len(l.buckets) == 0 }

// Held returns how many tokens all holders hold.
func (l *Allocator) Held() int64 {
	sum := int64(0)
	for _, a := range l.buckets {
		sum += a.held() / tokenUnits
	}
	return sum
}

// Apply decides a batch at a place time in milliseconds, and returns the grant for each request. The grant has no
// tenant if the request's tenant has no limit, or if the request is of an earlier epoch of its holder.
func (l *Allocator) Apply(at int64, batch Batch) []wire.QuotaGrant {
	l.evictUnused(at)
	for _, limit := range batch.Limits {
		if l.buckets[limit.Tenant] == nil {
			l.buckets[limit.Tenant] = newBucket(limit, at)
		}
		l.buckets[limit.Tenant].setLimit(limit, at)
	}
	isLate := make([]bool, len(batch.Asks))
	for i, ask := range batch.Asks { // all reports first, since spent and returned tokens make room
		if a := l.buckets[ask.Count.Tenant]; a != nil {
			isLate[i] = a.report(ask, at) == nil
		}
	}
	grants := make([]wire.QuotaGrant, len(batch.Asks))
	for i, ask := range batch.Asks {
		a := l.buckets[ask.Count.Tenant]
		if a == nil || isLate[i] {
			continue
		}
		index, _ := a.find(ask.Holder)
		grants[i] = a.grant(ask, &a.Holders[index], at)
	}
	return grants
}

// evictUnused drops the buckets that are in the state of new ones.
func (l *Allocator) evictUnused(at int64) {
	if at-l.evictedAt < evictionIntervalMs {
		return
	}
	l.evictedAt = at
	maps.DeleteFunc(l.buckets, func(_ string, a *bucket) bool {
		a.advance(at)
		return a.isUnused()
	})
}

// snapshot is the encoded state of an allocator.
type snapshot struct {
	EvictedAt int64    `avro:"swept_at"`
	Buckets   []bucket `avro:"accounts"`
}

var snapshotCodec = wire.NewRecordCodec(&snapshot{})

// Snapshot returns the state as a snapshot, empty for an allocator that has never been used.
func (l *Allocator) Snapshot() []byte {
	if l.IsEmpty() && l.evictedAt == 0 {
		return []byte{}
	}
	out := snapshot{EvictedAt: l.evictedAt, Buckets: []bucket{}}
	for _, tenant := range slices.Sorted(maps.Keys(l.buckets)) {
		a := *l.buckets[tenant]
		if a.Holders == nil {
			a.Holders = []holder{}
		}
		out.Buckets = append(out.Buckets, a)
	}
	return snapshotCodec.Encode(&out)
}

// Restore reads a snapshot. Errors: Corrupt.
func Restore(raw []byte) (*Allocator, error) {
	l := NewAllocator()
	if len(raw) == 0 {
		return l, nil
	}
	var in snapshot
	if err := snapshotCodec.Decode(raw, &in); err != nil {
		return nil, errs.Wrap(err, errs.Corrupt, "decode the snapshot of tenants' token buckets")
	}
	l.evictedAt = in.EvictedAt
	for _, a := range in.Buckets {
		l.buckets[a.Tenant] = &a
	}
	return l, nil
}
