package duty

import (
	"hash/fnv"
	"math"
	"strconv"

	"caperwheel/internal/config"
	"caperwheel/internal/wire"
)

// holderRunsPerSecondLimit is how many runs a second of a service one adapter keeps within a rate that the service's workers share.
const holderRunsPerSecondLimit = 500

// sharedHolders are the adapters that hold all duties of a pool whose listed workers share a rate: few, so that their parts of the
// rate are large beside a single run. Each has the workers of a hash.
type sharedHolders []wire.Who

// chooseSharedHolders chooses the keepers of a pool; none where its workers share no rate. One that holds most of its workers' duties
// and is a member stays; one that is silent gives way only where another can be had.
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
	for name, held := range compiled.Duties[pool].All() {
		at := out.indexOf(name)
		if counts[at] == nil {
			counts[at] = map[string]int{}
		}
		counts[at][held.Holder]++
	}
	names := make([]string, len(candidates))
	for i, who := range candidates {
		names[i] = who.Name
	}
	for at := range out {
		out[at] = responsive[HighestRanked("rate/"+pool+"/"+strconv.Itoa(at), names)]
		most := 0
		for name, count := range counts[at] {
			if who, isUsable := usable[name]; isUsable && (count > most || count == most && name < out[at].Name) {
				out[at], most = who, count
			}
		}
	}
	return out
}

func (k sharedHolders) indexOf(worker string) int {
	h := fnv.New32a()
	h.Write([]byte(worker))
	return int(h.Sum32() % uint32(len(k)))
}

// of returns who is to hold a worker's duty, and whether the pool has keepers at all.
func (k sharedHolders) holderOf(worker string) (wire.Who, bool) {
	if len(k) == 0 {
		return wire.Who{}, false
	}
	return k[k.indexOf(worker)], true
}
