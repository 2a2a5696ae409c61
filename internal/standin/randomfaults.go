package standin

import (
	"math/rand/v2"
	"time"

	"caperwheel/internal/fleet"
)

// RandomFaults are the faults from which random schedules are drawn.
func RandomFaults() []fleet.FaultDraw {
	of := func(names ...string) func(*rand.Rand) string {
		return func(r *rand.Rand) string { return names[r.IntN(len(names))] }
	}
	machines := of("store-1", "store-2", "store-3", "core-1", "core-2", "core-3", "front-1", "front-2", "front-3")
	workers, zones := of("pool-1/1", "pool-1/2", "pool-1/3", "pool-1/4", "pool-2/1", "pool-2/2"), of("north-bank", "south-bank", "mill-island")
	return []fleet.FaultDraw{
		{Weight: 4, Action: "kill", Target: machines, MaxDuration: 6 * time.Second},
		{Weight: 2, Action: "stop", Target: machines, MaxDuration: 4 * time.Second},
		{Weight: 2, Action: "turn", Target: of("front-*", "store-*", "core-*")},
		{Weight: 1, Action: "freeze", Target: machines, MaxDuration: 6 * time.Second},
		{Weight: 1, Action: "kill", Target: of("zone north-bank", "zone south-bank", "store-*", "core-*", "front-*", "*"), MaxDuration: 3 * time.Second},
		{Weight: 1, Action: "wipe", Target: of("store-1", "store-2", "store-3"), MaxDuration: 3 * time.Second},
		{Weight: 1, Action: "wipe and kill", Target: of("store-1", "store-2", "store-3"), MaxDuration: 3 * time.Second},
		{Weight: 2, Action: "hup", Target: of("front-*", "core-*", "*")},
		{Weight: 4, Action: "edit", Target: of("timeout", "add", "remove", "update", "invalid", "race", "repeat")},
		{Weight: 2, Action: "empty", Target: zones, MaxDuration: 10 * time.Second},
		{Weight: 1, Action: "fail", Target: workers, MaxDuration: 5 * time.Second},
		{Weight: 1, Action: "crawl", Target: workers, MaxDuration: 5 * time.Second},
		{Weight: 1, Action: "lose", Target: workers, MaxDuration: 5 * time.Second},
		{Weight: 1, Action: "cut", Target: workers, MaxDuration: 5 * time.Second},
		{Weight: 1, Action: "silent", Target: workers, MaxDuration: 5 * time.Second},
		{Weight: 1, Action: "full", Target: of("pool-2/*", "pool-1/*"), MaxDuration: 4 * time.Second},
		{Weight: 1, Action: "vanish", Target: of("pool-1/1", "pool-2/*", "pool-3/*"), MaxDuration: 5 * time.Second},
		{Weight: 2, Action: "leave", Target: workers, MaxDuration: 8 * time.Second},
		{Weight: 1, Action: "swap", Target: workers},
		{Weight: 1, Action: "flood", Target: of("lots", "buoys"), MaxDuration: 4 * time.Second},
		{Weight: 1, Action: "deafen", Target: of("receiver"), MaxDuration: 4 * time.Second},
	}
}
