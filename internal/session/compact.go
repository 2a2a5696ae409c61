package session

import (
	"maps"
	"strings"

	"caperwheel/internal/wire"
)

// What a daemon sees of its workers is said for the weights' controllers, who
// look once in two seconds. Said with every poll it was most of what an adapter
// with many duties sent, so only every wholeEvery-th poll or share has it; the
// others are marked, and whoever hears them keeps what it heard before. Over three
// hops that makes it 1.5 s old at most, less than a round of the controllers.
//
// Invariant: a marked fact lacks nothing but the counts that begin with bulk.
const (
	bulk        = "run_"
	compactMark = "#thin"
	wholeEvery  = 4
)

// compact gives a fact without its bulk; one that has none is left as it is.
func compact(f wire.Fact) wire.Fact {
	isThick := false
	for key := range f.Counts {
		isThick = isThick || strings.HasPrefix(key, bulk)
	}
	if !isThick {
		return f
	}
	out := map[string]int64{compactMark: 1}
	for key, n := range f.Counts {
		if !strings.HasPrefix(key, bulk) {
			out[key] = n
		}
	}
	f.Counts = out
	return f
}

// expand puts the bulk that was heard before into a marked fact.
func expand(f, before wire.Fact) wire.Fact {
	if f.Counts[compactMark] == 0 {
		return f
	}
	out := maps.Clone(f.Counts)
	delete(out, compactMark)
	for key, n := range before.Counts {
		if strings.HasPrefix(key, bulk) {
			out[key] = n
		}
	}
	f.Counts = out
	return f
}
