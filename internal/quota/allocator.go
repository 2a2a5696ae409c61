package quota

import (
	"maps"
	"slices"

	"caperwheel/internal/errs"
	"caperwheel/internal/wire"
)

// evictionIntervalMs is how often accounts that nobody uses are looked for, in milliseconds of place time.
const evictionIntervalMs = 2_000

// Allocator is the accounts of the tenants that one place counts. It is replicated state: what Apply comes to
// follows from the state, the time and the batch alone, bit for bit.
type Allocator struct {
	buckets   map[string]*bucket
	evictedAt int64
}

// NewAllocator returns a ledger without accounts.
func NewAllocator() *Allocator { return &Allocator{buckets: map[string]*bucket{}} }

// IsEmpty reports whether nothing is counted.
func (l *Allocator) IsEmpty() bool { return len(l.buckets) == 0 }

// Held returns how many tokens holders hold.
func (l *Allocator) Held() int64 {
	sum := int64(0)
	for _, a := range l.buckets {
		sum += a.held() / tokenUnits
	}
	return sum
}

// Apply decides a batch at a place time in milliseconds and returns the grant for each ask: one without a tenant
// for an ask without a limit, or of an earlier life of its holder's account.
func (l *Allocator) Apply(at int64, batch Batch) []wire.QuotaGrant {
	l.evictUnused(at)
	for _, limit := range batch.Limits {
		if l.buckets[limit.Tenant] == nil {
			l.buckets[limit.Tenant] = newBucket(limit, at)
		}
		l.buckets[limit.Tenant].setLimit(limit, at)
	}
	isLate := make([]bool, len(batch.Asks))
	for i, ask := range batch.Asks { // all reports first: what is spent or given back makes room
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
		place, _ := a.find(ask.Holder)
		grants[i] = a.grant(ask, &a.Holders[place], at)
	}
	return grants
}

// evictUnused forgets the accounts that are as new ones.
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

type snapshot struct {
	SweptAt int64    `avro:"swept_at"`
	Buckets []bucket `avro:"accounts"`
}

var snapshotCodec = wire.NewRecordCodec(&snapshot{})

// Snapshot returns the whole state as bytes: none for a ledger that has never counted anything.
func (l *Allocator) Snapshot() []byte {
	if l.IsEmpty() && l.evictedAt == 0 {
		return []byte{}
	}
	out := snapshot{SweptAt: l.evictedAt, Buckets: []bucket{}}
	for _, tenant := range slices.Sorted(maps.Keys(l.buckets)) {
		a := *l.buckets[tenant]
		if a.Holders == nil {
			a.Holders = []holder{}
		}
		out.Buckets = append(out.Buckets, a)
	}
	return snapshotCodec.Encode(&out)
}

// Restore reads a whole state back. Errors: Corrupt.
func Restore(raw []byte) (*Allocator, error) {
	l := NewAllocator()
	if len(raw) == 0 {
		return l, nil
	}
	var in snapshot
	if err := snapshotCodec.Decode(raw, &in); err != nil {
		return nil, errs.Wrap(err, errs.Corrupt, "the counts of tenants")
	}
	l.evictedAt = in.SweptAt
	for _, a := range in.Buckets {
		l.buckets[a.Tenant] = &a
	}
	return l, nil
}
