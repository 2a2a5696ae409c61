package duty

import (
	"hash/fnv"
	"math"
	"strconv"

	"caperwheel/internal/config"
	"caperwheel/internal/wire"
)

// holderRunsPerSecondLimit is the largest part of a shared rate that one adapter enforces.
const holderRunsPerSecondLimit = 500

// sharedHolders are the adapters that hold all duties of a pool whose workers share a rate limit. They
// are few, so that the part of the rate that each gets is large compared with a single run. The
// workers are divided among them by a hash of the name.
type sharedHolders []wire.Who

// chooseSharedHolders returns the shared holders of a pool; none if its workers share no rate. For each
// part of the workers, the usable adapter with the most of their duties stays the holder. If none of
// them is usable, an adapter is chosen by rank, an unresponsive one only if there is no other.
func chooseSharedHolders(pool string, compiled *config.Compiled, usable, responsive map[string]wire.Who, candidates []wire.Who) sharedHolders {
	rules := config.Pool{}
	if compiled.Rules != nil {
		rules = compiled.Rules.Pools[pool]
	}
	if rules.Rate <= 0 || rules.IsEndpoint || len(candidates) == 0 {
		return nil
	}
	out := make(sharedHolders, int(math.Ceil(rules.Rate/holderRunsPerSecondLimit)))
	counts := make([]map[string]int, len(out))
	for name, assigned := range compiled.Duties[pool].All() {
		at := out.indexOf(name)
		if counts[at] == nil {
			counts[at] = map[string]int{}
		}
		counts[at][assigned.Holder]++
	}
	names := make([]string, len(candidates))
	for i, who := range candidates {
		names[i] = who.Name
	}
	for at := range out {
		out[at] = responsive[HighestRanked("rate/"+pool+"/"+strconv.Itoa(at), names)]
		maxCount := 0
		for name, count := range counts[at] {
			if who, isUsable := usable[name]; isUsable && (count > maxCount || count == maxCount && name < out[at].Name) {
				out[at], maxCount = who, count
			}
		}
	}
	return out
}

// indexOf returns the index of the holder that a worker is assigned to.
func (k sharedHolders) indexOf(worker string) int {
	h := fnv.New32a()
	h.Write([]byte(worker))
	return int(h.Sum32() % uint32(len(k)))
}

// holderOf returns the adapter that is to hold a worker's duty, and whether the pool has shared holders.
func (k sharedHolders) holderOf(worker string) (wire.Who, bool) {
	if len(k) == 0 {
		return wire.Who{}, false
	}
	return k[k.indexOf(worker)], true
}
