// Package duty cuts work that one daemon does by key over the live daemons. A
// key changes hands under a fence: the new holder waits until the one before
// must have stopped.
package duty

import (
	"hash/fnv"
	"maps"
	"slices"
	"time"

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

// First gives the daemon with the first claim to a key.
func First(key string, names []string) string {
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
	Pool, Worker string
	Next         config.Duty
	IfRevision   int64
	IsGone       bool // the worker is no longer listed
	IsGuess      bool // the holder is not here: it may only be out of our sight
	IsReborn     bool // it stays with its holder's new life
}

// Steady keeps two planners that see different daemons from pulling a duty to
// and fro: one that has just changed hands is not moved on a guess. That a holder is gone is
// no guess for a planner that has seen it here since it moved the duty itself. Of two that see
// different adapters each may so move a duty once; after that, neither has seen the other's holder.
//
// Invariants: seen has the newest term of each duty and when it was first planned; here has when
// each life of a daemon was last a member, and moved when each duty was last moved, as this
// planner saw it.
type Steady struct {
	Least time.Duration // a duty stays so long before a guess may move it
	seen  map[string]seenTerm
	here  map[string]time.Duration // by boot
	moved map[string]time.Duration // by duty
}

// Note takes in which daemons are members now. It is called before each plan.
func (s *Steady) Note(members []wire.Who, now time.Duration) {
	if s.here == nil {
		s.here = map[string]time.Duration{}
	}
	for _, who := range members {
		s.here[who.Boot] = now
	}
	maps.DeleteFunc(s.here, func(_ string, at time.Duration) bool { return now-at > hereKept*s.Least })
}

// hereKept is for how many times Least a daemon that has gone is remembered.
const hereKept = 10

// isSeenGone reports whether this planner itself has seen a duty's holder come or stay, and go,
// since it last moved the duty.
func (s *Steady) isSeenGone(key, boot string) bool {
	at, isKnown := s.here[boot]
	return isKnown && at >= s.moved[key]
}

type seenTerm struct {
	term int64
	at   time.Duration
}

// Filter drops the guesses that come too early.
func (s *Steady) Filter(plan []Change, now time.Duration) []Change {
	if s.seen == nil {
		s.seen, s.moved = map[string]seenTerm{}, map[string]time.Duration{}
	}
	out := []Change{}
	for _, c := range plan {
		key := c.Pool + "/" + c.Worker
		was, isKnown := s.seen[key]
		if !isKnown || was.term != c.IfRevision {
			was = seenTerm{c.IfRevision, now}
			s.seen[key] = was
			if !isKnown { // we have just come: what we know of it may be old
				was.at = now - s.Least
				s.seen[key] = was
			}
		}
		if !c.IsGuess || now-was.at >= s.Least || s.isSeenGone(key, c.Next.Before) {
			out = append(out, c)
			s.moved[key] = now
		}
	}
	return out
}

// Adapters are those that may hold duties, as a planner sees them.
type Adapters struct {
	Here    []wire.Who      // members
	Leaving map[string]bool // by name: asked to stop
	Silent  map[string]bool // by name: not heard of for a while, so perhaps gone; none gets a duty that another can have
}

// Plan tells which duties of a pool must change hands. A duty stays where it
// is while its holder lives, stays and may serve; a lost one goes to the adapter of
// the worker's zone, if there is one, that has the fewest duties.
func Plan(pool string, compiled *config.Compiled, adapters Adapters, revision func(key string) (int64, bool)) []Change {
	usable, load, leaving := map[string]wire.Who{}, map[string]int(nil), adapters.Leaving
	for _, a := range adapters.Here {
		if !compiled.Emptied[a.Zone] && !leaving[a.Name] {
			usable[a.Name] = a
		}
	}
	heard := maps.Clone(usable)
	maps.DeleteFunc(heard, func(name string, _ wire.Who) bool { return adapters.Silent[name] })
	if len(heard) == 0 {
		heard = usable
	}
	out := []Change{}
	for name, worker := range compiled.Workers[pool].All() {
		held, isAssigned := compiled.Duties[pool].Get(name)
		holder, isHere := usable[held.Holder]
		isRight := isAssigned && isHere && holder.Boot == held.Boot
		if isRight && (worker.Zone == "" || holder.Zone == worker.Zone || !hasZone(usable, worker.Zone)) {
			continue
		}
		if load == nil { // most rounds find nothing to move, and need no count of all duties
			load = loadOf(compiled)
		}
		next := choose(pool+"/"+name, worker.Zone, heard, load)
		isReborn := isAssigned && isHere && holder.Boot != held.Boot
		if isReborn && (worker.Zone == "" || holder.Zone == worker.Zone || !hasZone(usable, worker.Zone)) {
			next = holder // its life before has ended: no other can act, so no fence
		}
		if next.Name == "" || isRight && next.Name == held.Holder {
			continue
		}
		load[held.Holder]--
		load[next.Name]++
		ifRevision, wasKnown := revision(config.DutyKey + pool + "/" + name)
		before := held.Boot
		if !isAssigned && wasKnown {
			before = "an earlier holder"
		}
		isKept := isReborn && next == holder
		out = append(out, Change{Pool: pool, Worker: name, IfRevision: ifRevision, IsReborn: isKept,
			Next:    config.Duty{Holder: next.Name, Boot: next.Boot, Before: before, IsFree: isKept || leaving[held.Holder]},
			IsGuess: isAssigned && !isHere && !leaving[held.Holder] && !isEmptied(compiled, adapters.Here, held.Holder)})
	}
	for name, held := range compiled.Duties[pool].All() {
		if _, isListed := compiled.Workers[pool].Get(name); !isListed {
			out = append(out, Change{Pool: pool, Worker: name, IfRevision: held.Term, IsGone: true})
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

// isEmptied: a holder that is left out for its zone's sake is no guess.
func isEmptied(compiled *config.Compiled, adapters []wire.Who, name string) bool {
	for _, a := range adapters {
		if a.Name == name {
			return compiled.Emptied[a.Zone]
		}
	}
	return false
}

func hasZone(usable map[string]wire.Who, zone string) bool {
	for _, a := range usable {
		if a.Zone == zone {
			return true
		}
	}
	return false
}

func choose(key, zone string, usable map[string]wire.Who, load map[string]int) wire.Who {
	best := wire.Who{}
	for _, name := range slices.Sorted(maps.Keys(usable)) {
		a := usable[name]
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
