package session

import (
	"maps"
	"strings"

	"caperwheel/internal/wire"
)

// Counts with bulkPrefix report what a daemon observes of its workers to the weight controllers, which run
// every two seconds. Sent with every poll they were most of the traffic of an adapter with many duties, so
// only every fullFactInterval-th poll or share carries them. The others carry omittedMark instead, and the
// receiver keeps the counts that it received before. Over three hops this makes them at most 1.5 s old,
// less than a round of the controllers.
//
// Invariant: a marked fact lacks only the counts that begin with bulkPrefix.
const (
	bulkPrefix       = "run_"
	omittedMark      = "#thin"
	fullFactInterval = 4
)

// withoutBulk returns a fact without its bulk counts and with the mark; a fact without bulk counts is
// unchanged.
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

// restoreBulk adds the bulk counts that were received before to a marked fact.
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
