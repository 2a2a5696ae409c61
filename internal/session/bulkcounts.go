package session

import (
	"maps"
	"strings"

	"caperwheel/internal/wire"
)

// What a daemon sees of its workers is said for the weights' controllers, who
// look once in two seconds. Said with every poll it was most of what an adapter
// with many duties sent, so only every fullFactInterval-th poll or share has it; the
// others are marked, and whoever hears them keeps what it heard before. Over three
// hops that makes it 1.5 s old at most, less than a round of the controllers.
//
// Invariant: a marked fact lacks nothing but the counts that begin with bulk.
const (
	bulkPrefix       = "run_"
	omittedMark      = "#thin"
	fullFactInterval = 4
)

// withoutBulk gives a fact without its bulk; one that has none is left as it is.
func withoutBulk(f wire.Fact) wire.Fact {
	hasBulk := false
	for key := range f.Counts {
		hasBulk = hasBulk || strings.HasPrefix(key, bulkPrefix)
	}
	if !hasBulk {
		return f
	}
	out := map[string]int64{omittedMark: 1}
	for key, n := range f.Counts {
		if !strings.HasPrefix(key, bulkPrefix) {
			out[key] = n
		}
	}
	f.Counts = out
	return f
}

// restoreBulk puts the bulk that was heard before into a marked fact.
func restoreBulk(f, before wire.Fact) wire.Fact {
	if f.Counts[omittedMark] == 0 {
		return f
	}
	out := maps.Clone(f.Counts)
	delete(out, omittedMark)
	for key, n := range before.Counts {
		if strings.HasPrefix(key, bulkPrefix) {
			out[key] = n
		}
	}
	f.Counts = out
	return f
}
