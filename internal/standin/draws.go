package standin

import (
	"math/rand/v2"
	"time"

	"caperwheel/internal/fleet"
)

// Draws are the faults of which schedules are drawn by seed.
func Draws() []fleet.Draw {
	of := func(names ...string) func(*rand.Rand) string {
		return func(r *rand.Rand) string { return names[r.IntN(len(names))] }
	}
	machines := of("store-1", "store-2", "store-3", "core-1", "core-2", "core-3", "front-1", "front-2", "front-3")
	workers, zones := of("pool-1/1", "pool-1/2", "pool-1/3", "pool-1/4", "pool-2/1", "pool-2/2"), of("north-bank", "south-bank", "mill-island")
	return []fleet.Draw{
		{Share: 4, Do: "kill", Who: machines, Most: 6 * time.Second},
		{Share: 2, Do: "stop", Who: machines, Most: 4 * time.Second},
		{Share: 2, Do: "turn", Who: of("front-*", "store-*", "core-*")},
		{Share: 1, Do: "freeze", Who: machines, Most: 6 * time.Second},
		{Share: 1, Do: "kill", Who: of("zone north-bank", "zone south-bank", "store-*", "core-*", "front-*", "*"), Most: 3 * time.Second},
		{Share: 1, Do: "wipe", Who: of("store-1", "store-2", "store-3"), Most: 3 * time.Second},
		{Share: 1, Do: "wipe and kill", Who: of("store-1", "store-2", "store-3"), Most: 3 * time.Second},
		{Share: 2, Do: "hup", Who: of("front-*", "core-*", "*")},
		{Share: 4, Do: "edit", Who: of("timeout", "add", "remove", "update", "invalid", "race", "repeat")},
		{Share: 2, Do: "empty", Who: zones, Most: 10 * time.Second},
		{Share: 1, Do: "fail", Who: workers, Most: 5 * time.Second},
		{Share: 1, Do: "crawl", Who: workers, Most: 5 * time.Second},
		{Share: 1, Do: "lose", Who: workers, Most: 5 * time.Second},
		{Share: 1, Do: "cut", Who: workers, Most: 5 * time.Second},
		{Share: 1, Do: "silent", Who: workers, Most: 5 * time.Second},
		{Share: 1, Do: "full", Who: of("pool-2/*", "pool-1/*"), Most: 4 * time.Second},
		{Share: 1, Do: "vanish", Who: of("pool-1/1", "pool-2/*", "pool-3/*"), Most: 5 * time.Second},
		{Share: 2, Do: "leave", Who: workers, Most: 8 * time.Second},
		{Share: 1, Do: "swap", Who: workers},
		{Share: 1, Do: "flood", Who: of("lots", "buoys"), Most: 4 * time.Second},
		{Share: 1, Do: "deafen", Who: of("receiver"), Most: 4 * time.Second},
	}
}
