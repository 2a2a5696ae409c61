// Package duty plans which adapter holds the duty of each worker and endpoint. It spreads the duties
// over the live adapters, by zone and load. When a duty moves, the new holder is fenced: it waits until
// the previous one must have stopped, unless that one has released the duty. The package holds the
// planning only; managers call it and write the changes. HighestRanked also divides other work among
// daemons by key.
package duty

import (
	"hash/fnv"
	"maps"
	"slices"
	"strings"

	"caperwheel/internal/config"
	"caperwheel/internal/wire"
)

// Rank returns the rank of a daemon for a key, for rendezvous hashing: the daemon with the highest rank
// is responsible for the key.
func Rank(key, name string) uint64 {
	h := fnv.New64a()
	h.Write([]byte(key + "\x00" + name))
	x := h.Sum64()
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	return x ^ x>>33
}

// HighestRanked returns the daemon with the highest rank for a key; empty if there are no names.
func HighestRanked(key string, names []string) string {
	best, top := "", uint64(0)
	for _, name := range names {
		if rank := Rank(key, name); best == "" || rank > top {
			best, top = name, rank
		}
	}
	return best
}

// Change is a planned change of one duty.
type Change struct {
	Pool, Worker      string
	Next              config.Duty
	IfRevision        int64
	IsRemoval         bool // the worker is no longer listed
	IsHolderSuspected bool // the holder is not a member in this planner's view, but may be alive
	IsHolderRestarted bool // the duty stays with its holder, which has restarted
}

// key returns the name of the duty.
func (c Change) key() string { return c.Pool + "/" + c.Worker }

// Adapters is a planner's view of the adapters.
type Adapters struct {
	Members      []wire.Who      // adapters that are members of the deployment
	Leaving      map[string]bool // by name: it was asked to stop
	Unresponsive map[string]bool // by name: not heard from for a while; it gets a duty only if no other can

	Proposals *Proposals // nil if none are open
}

// Plan returns the changes of a pool's duties. A duty stays with its holder while that is a member, is
// not leaving, is not in a drained zone and is in the worker's zone if that has adapters. Otherwise
// the duty goes to the adapter with the fewest duties, in the worker's zone if there is one. revision
// returns the revision to base a key's change on, and whether the key has ever existed.
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
		assigned, isAssigned := compiled.Duties[pool].Get(name)
		holder, isUsable := usable[assigned.Holder]
		isHeld := isAssigned && isUsable && holder.Boot == assigned.Boot
		isPlaced := worker.Zone == "" || holder.Zone == worker.Zone || !hasAdapterIn(usable, worker.Zone)
		sharedHolder, isShared := shared.holderOf(name)
		if isShared {
			isPlaced = holder.Name == sharedHolder.Name
		}
		if isHeld && isPlaced {
			continue
		}
		if load == nil { // most rounds move nothing and need no count of all duties
			load = loadOf(compiled)
		}
		ifRevision, wasKnown := revision(config.DutyKey + pool + "/" + name)
		if open, isOpen := adapters.Proposals.find(pool+"/"+name, ifRevision); isOpen {
			load[assigned.Holder]--
			load[open.holder]++
			continue
		}
		next := sharedHolder
		if !isShared {
			next = chooseHolder(pool+"/"+name, worker.Zone, candidates, load)
		}
		isRestarted := isAssigned && isUsable && holder.Boot != assigned.Boot
		if isRestarted && isPlaced {
			next = holder // its previous process has ended: no other can act, so no fencing
		}
		if next.Name == "" || isHeld && next.Name == assigned.Holder {
			continue
		}
		load[assigned.Holder]--
		load[next.Name]++
		before := assigned.Boot
		if !isAssigned && wasKnown {
			before = "an earlier holder"
		}
		keepsHolder := isRestarted && next == holder
		out = append(out, Change{Pool: pool, Worker: name, IfRevision: ifRevision, IsHolderRestarted: keepsHolder,
			Next:              config.Duty{Holder: next.Name, Boot: next.Boot, PreviousBoot: before, IsReleased: keepsHolder || leaving[assigned.Holder]},
			IsHolderSuspected: isAssigned && !isUsable && !leaving[assigned.Holder] && !isInDrainedZone(compiled, adapters.Members, assigned.Holder)})
	}
	for name, assigned := range compiled.Duties[pool].All() {
		_, isListed := compiled.Workers[pool].Get(name)
		if _, isOpen := adapters.Proposals.find(pool+"/"+name, assigned.Term); !isListed && !isOpen {
			out = append(out, Change{Pool: pool, Worker: name, IfRevision: assigned.Term, IsRemoval: true})
		}
	}
	return out
}

// loadOf returns the number of duties of each adapter.
func loadOf(compiled *config.Compiled) map[string]int {
	out := map[string]int{}
	for _, duties := range compiled.Duties {
		for _, d := range duties.All() {
			out[d.Holder]++
		}
	}
	return out
}

// isInDrainedZone reports whether a holder is a member of a drained zone. Such a holder is excluded
// because of its zone, and is not suspected to have failed.
func isInDrainedZone(compiled *config.Compiled, adapters []wire.Who, name string) bool {
	for _, a := range adapters {
		if a.Name == name {
			return compiled.DrainedZones[a.Zone]
		}
	}
	return false
}

// hasAdapterIn reports whether one of the usable adapters is in a zone.
func hasAdapterIn(usable map[string]wire.Who, zone string) bool {
	for _, a := range usable {
		if a.Zone == zone {
			return true
		}
	}
	return false
}

// chooseHolder returns the adapter that a duty is assigned to: one of the worker's zone if possible,
// with the fewest duties, and of those the highest rank. The candidates are sorted by name.
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
