package store

import "runtime/metrics"

// liveHeapPercentLimit is the share of its memory that a store's live heap may take before its places accept no more
// messages. The rest is for what held messages need besides themselves: snapshots that are written and sent, garbage
// that is not collected yet, and bytes queued on links.
//
// Invariant: it is well below the heap limit of the daemon, so that a store which accepts no more messages does not
// spend its processor time on garbage collection.
const liveHeapPercentLimit = 40

// liveHeapBytes returns the heap that the last garbage collection found in use.
func liveHeapBytes() int64 {
	sample := []metrics.Sample{{Name: "/gc/heap/live:bytes"}}
	metrics.Read(sample)
	if sample[0].Value.Kind() != metrics.KindUint64 {
		return 0
	}
	return int64(sample[0].Value.Uint64())
}

// isMemoryLow reports whether the live heap leaves too little memory to accept more. It is false if the memory limit
// is not known.
func isMemoryLow(live, memory int64) bool {
	return memory > 0 && live > memory/100*liveHeapPercentLimit
}
