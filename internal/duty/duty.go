// Package duty cuts work that one daemon does by key over the live daemons. A
// key changes hands under a fence: the new holder waits until the one before
// must have stopped.
package duty

import (
	"hash/fnv"
	"maps"
	"slices"
	"strings"

	"caperwheel/internal/config"
	"caperwheel/internal/wire"
)

// Rank orders daemons for a key: the highest has the first claim.
func Rank(key, name string) uint64 {
	h := fnv.New64a()
	h.Write([]byte(key + "\x00" + name))
	x := h.Sum64()
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	return x ^ x>>33
}

// HighestRanked gives the daemon with the first claim to a key.
func HighestRanked(key string, names []string) string {
	best, top := "", uint64(0)
	for _, name := range names {
		if rank := Rank(key, name); best == "" || rank > top {
			best, top = name, rank
		}
	}
	return best
}

// Change is one duty that must be written anew.
type Change struct {
	Pool, Worker      string
	Next              config.Duty
	IfRevision        int64
	IsRemoval         bool // the worker is no longer listed
	IsHolderSuspected bool // the holder is not here: it may only be out of our sight
	IsHolderRestarted bool // it stays with its holder's new life
}

func (c Change) key() string { return c.Pool + "/" + c.Worker }

// Adapters are those that may hold duties, as a planner sees them.
type Adapters struct {
	Members      []wire.Who      // members
	Leaving      map[string]bool // by name: asked to stop
	Unresponsive map[string]bool // by name: not heard of for a while, so perhaps gone; none gets a duty that another can have

	Proposals *Proposals // nil: none are open
}

// Plan tells which duties of a pool must change hands. A duty stays where it
// is while its holder lives, stays and may serve; a lost one goes to the adapter of
// the worker's zone, if there is one, that has the fewest duties.
func Plan(pool string, compiled *config.Compiled, adapters Adapters, revision func(key string) (int64, bool)) []Change {
	usable, load, leaving := map[string]wire.Who{}, map[string]int(nil), adapters.Leaving
	for _, a := range adapters.Members {
		if !compiled.DrainedZones[a.Zone] && !leaving[a.Name] {
			usable[a.Name] = a
		}
	}
	responsive := maps.Clone(usable)
	maps.DeleteFunc(responsive, func(name string, _ wire.Who) bool { return adapters.Unresponsive[name] })
	if len(responsive) == 0 {
		responsive = usable
	}
	candidates := slices.SortedFunc(maps.Values(responsive), func(a, b wire.Who) int { return strings.Compare(a.Name, b.Name) })
	out := []Change{}
	shared := chooseSharedHolders(pool, compiled, usable, responsive, candidates)
	for name, worker := range compiled.Workers[pool].All() {
		held, isAssigned := compiled.Duties[pool].Get(name)
		holder, isHere := usable[held.Holder]
		isHeld := isAssigned && isHere && holder.Boot == held.Boot
		isPlaced := worker.Zone == "" || holder.Zone == worker.Zone || !hasAdapterIn(usable, worker.Zone)
		sharedHolder, isShared := shared.holderOf(name)
		if isShared {
			isPlaced = holder.Name == sharedHolder.Name
		}
		if isHeld && isPlaced {
			continue
		}
		if load == nil { // most rounds find nothing to move, and need no count of all duties
			load = loadOf(compiled)
		}
		ifRevision, wasKnown := revision(config.DutyKey + pool + "/" + name)
		if open, isOpen := adapters.Proposals.find(pool+"/"+name, ifRevision); isOpen {
			load[held.Holder]--
			load[open.holder]++
			continue
		}
		next := sharedHolder
		if !isShared {
			next = chooseHolder(pool+"/"+name, worker.Zone, candidates, load)
		}
		isRestarted := isAssigned && isHere && holder.Boot != held.Boot
		if isRestarted && isPlaced {
			next = holder // its life before has ended: no other can act, so no fence
		}
		if next.Name == "" || isHeld && next.Name == held.Holder {
			continue
		}
		load[held.Holder]--
		load[next.Name]++
		before := held.Boot
		if !isAssigned && wasKnown {
			before = "an earlier holder"
		}
		isKept := isRestarted && next == holder
		out = append(out, Change{Pool: pool, Worker: name, IfRevision: ifRevision, IsHolderRestarted: isKept,
			Next:              config.Duty{Holder: next.Name, Boot: next.Boot, PreviousBoot: before, IsReleased: isKept || leaving[held.Holder]},
			IsHolderSuspected: isAssigned && !isHere && !leaving[held.Holder] && !isInDrainedZone(compiled, adapters.Members, held.Holder)})
	}
	for name, held := range compiled.Duties[pool].All() {
		_, isListed := compiled.Workers[pool].Get(name)
		if _, isOpen := adapters.Proposals.find(pool+"/"+name, held.Term); !isListed && !isOpen {
			out = append(out, Change{Pool: pool, Worker: name, IfRevision: held.Term, IsRemoval: true})
		}
	}
	return out
}

// loadOf counts the duties of each adapter.
func loadOf(compiled *config.Compiled) map[string]int {
	out := map[string]int{}
	for _, duties := range compiled.Duties {
		for _, d := range duties.All() {
			out[d.Holder]++
		}
	}
	return out
}

// isInDrainedZone: a holder that is left out for its zone's sake is no guess.
func isInDrainedZone(compiled *config.Compiled, adapters []wire.Who, name string) bool {
	for _, a := range adapters {
		if a.Name == name {
			return compiled.DrainedZones[a.Zone]
		}
	}
	return false
}

func hasAdapterIn(usable map[string]wire.Who, zone string) bool {
	for _, a := range usable {
		if a.Zone == zone {
			return true
		}
	}
	return false
}

// chooseHolder returns which of some adapters, sorted by name, a duty goes to.
func chooseHolder(key, zone string, candidates []wire.Who, load map[string]int) wire.Who {
	best := wire.Who{}
	for _, a := range candidates {
		name := a.Name
		if best.Name == "" {
			best = a
			continue
		}
		isOwnZone, bestIsOwnZone := a.Zone == zone, best.Zone == zone
		switch {
		case isOwnZone != bestIsOwnZone:
			if isOwnZone {
				best = a
			}
		case load[name] != load[best.Name]:
			if load[name] < load[best.Name] {
				best = a
			}
		case Rank(key, name) > Rank(key, best.Name):
			best = a
		}
	}
	return best
}
