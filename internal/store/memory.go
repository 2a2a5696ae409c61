package store

import "runtime/metrics"

// liveHeapPercentLimit is how much of its memory, in hundredths, a store's live heap may take
// before its places take nothing new. The rest is for what held messages need besides
// themselves: images written and sent, garbage not collected yet, bytes on links.
//
// Invariant: it is well below what the daemon lets the heap grow to, so that a store
// which takes nothing more does not spend its processor on collecting.
const liveHeapPercentLimit = 40

// liveHeapBytes is the heap that the newest collection found in use.
func liveHeapBytes() int64 {
	sample := []metrics.Sample{{Name: "/gc/heap/live:bytes"}}
	metrics.Read(sample)
	if sample[0].Value.Kind() != metrics.KindUint64 {
		return 0
	}
	return int64(sample[0].Value.Uint64())
}

// isMemoryLow reports whether what is held leaves too little memory to take more; never
// where no bound is known.
func isMemoryLow(live, memory int64) bool {
	return memory > 0 && live > memory/100*liveHeapPercentLimit
}
