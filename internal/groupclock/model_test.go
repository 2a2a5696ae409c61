package groupclock

import (
	"fmt"
	"time"
)

// The model: replicas of a group, its committed commands, a keeper of its time, and one
// real time. Each step is one of: a second passes; a replica applies the next command; one
// that has applied all becomes the owner, by its own count or by what the keeper tells; the
// owner commits a command, or tells the keeper its time, at once or a second late; a replica
// is restarted, with a snapshot of the commands that it had applied or with its log alone;
// the keeper is.
type modelReplica struct {
	clock         Clock
	applied       int
	snapshotCount int // commands that its disk has in a snapshot
	loggedCount   int // commands that its log had as its process began
	start         time.Duration
}

type modelCommand struct {
	stamp     int64
	real      time.Duration
	ownership int // counts ownerships
}

// modelMutant takes one guard of the clock out.
type modelMutant int

const (
	noMutant           modelMutant = iota
	keepsOwnCount                  // a replica keeps its own count where that is ahead
	acceptsAnyTerm                 // a word counts whatever ownership it was told in
	acceptsLateReading             // a word counts after the ownership's first command as well
	countsAllAsLogged              // every command counts as one that the log had as the process began
)

// modelSize bounds what is explored.
type modelSize struct {
	replicas int
	restarts bool
	hasCache bool
	depth    int
}

type model struct {
	now             time.Duration
	replicas        [3]modelReplica
	log             []modelCommand
	owner           int // index of the owner; -1 for none
	ownerships      int // counts ownerships
	newestOwnership int // the ownership of the newest command when the owner began
	cached          Reading
	cachedAt        time.Duration // of the word, by the real time: the keeper's clock runs as fast
	inTransit       Reading       // a word that comes a second late
	sentAt          time.Duration
}

// own is the replica's own clock, which begins with its process.
func (m *model) own(r int) time.Duration { return m.now - m.replicas[r].start }

func (m *model) apply(r int, mutant modelMutant) {
	x := &m.replicas[r]
	c, heldAt := m.log[x.applied], m.own(r)
	if x.applied < x.loggedCount || mutant == countsAllAsLogged {
		heldAt = 0
	}
	isOwn := r == m.owner && c.ownership == m.ownerships
	x.clock.Apply(c.stamp, isOwn || mutant == keepsOwnCount, heldAt)
	x.applied++
}

// cache returns the keeper as it is now.
func (m *model) cache() *Cache {
	k := &Cache{}
	if m.cached.Term > 0 {
		_ = k.Record(0, m.cached, m.cachedAt)
	}
	return k
}

// record has the keeper hear a word.
func (m *model) record(word Reading) {
	k := m.cache()
	_ = k.Record(0, word, m.now)
	m.cached, _ = k.Lookup(0, m.now)
	m.cachedAt = m.now
}

// recall has the owner go on from what the keeper tells, if that counts.
func (m *model) recall(mutant modelMutant) {
	word, isKnown := m.cache().Lookup(0, m.now)
	if !isKnown {
		return
	}
	own := Ownership{Term: int64(m.ownerships), NewestTerm: int64(m.newestOwnership)}
	if mutant == acceptsAnyTerm {
		own.NewestTerm = 0
	}
	_, _ = m.replicas[m.owner].clock.Recover(word, own, m.own(m.owner))
}

// become has a replica that has applied all own the group.
func (m *model) become(r int) {
	m.owner, m.ownerships, m.newestOwnership = r, m.ownerships+1, 0
	if len(m.log) > 0 {
		m.newestOwnership = m.log[len(m.log)-1].ownership
	}
}

// steps lists what may come next.
func (m *model) steps(mutant modelMutant, size modelSize) []func(*model) {
	out := []func(*model){func(m *model) { m.now += time.Second }}
	for r := range size.replicas {
		if m.replicas[r].applied < len(m.log) {
			out = append(out, func(m *model) { m.apply(r, mutant) })
		} else if r != m.owner {
			out = append(out, func(m *model) { m.become(r) })
			if m.cached.Term > 0 {
				out = append(out, func(m *model) { m.become(r); m.recall(mutant) })
			}
		}
		if size.restarts {
			out = append(out, func(m *model) { m.restart(r, false) }, func(m *model) { m.restart(r, true) })
		}
	}
	if m.owner >= 0 {
		out = append(out, func(m *model) {
			told := m.replicas[m.owner].clock.At(m.own(m.owner))
			m.log = append(m.log[:len(m.log):len(m.log)], modelCommand{told, m.now, m.ownerships})
			m.apply(m.owner, mutant)
		})
	}
	if size.hasCache {
		out = append(out, m.cacheSteps(mutant)...)
	}
	return out
}

// cacheSteps lists what may come next of the keeper.
func (m *model) cacheSteps(mutant modelMutant) []func(*model) {
	out := []func(*model){}
	if m.owner >= 0 {
		word := Reading{int64(m.ownerships), m.replicas[m.owner].clock.At(m.own(m.owner))}
		out = append(out, func(m *model) { m.record(word) }, func(m *model) { m.inTransit, m.sentAt = word, m.now })
		if mutant == acceptsLateReading && m.cached.Term > 0 {
			out = append(out, func(m *model) { m.recall(mutant) })
		}
	}
	if m.inTransit.Term > 0 && m.now > m.sentAt {
		out = append(out, func(m *model) { m.record(m.inTransit); m.inTransit = Reading{} })
	}
	if m.cached.Term > 0 {
		out = append(out, func(m *model) { m.cached, m.cachedAt = Reading{}, 0 }) // a new life knows nothing
	}
	return out
}

// restart ends a replica's process and begins another one, from a snapshot of all that
// it had applied, or from the log.
func (m *model) restart(r int, isSnapshot bool) {
	x := &m.replicas[r]
	x.start = m.now
	if m.owner == r {
		m.owner = -1
	}
	if isSnapshot {
		x.snapshotCount = x.applied
	}
	x.clock, x.applied, x.loggedCount = New(0), 0, max(x.loggedCount, x.applied)
	if x.snapshotCount > 0 {
		x.clock.Reset(m.log[x.snapshotCount-1].stamp, 0)
		x.applied = x.snapshotCount
	}
}

// violation tells of two commands between which the group's time has advanced by more than
// real time has.
func (m *model) violation() string {
	for j, a := range m.log {
		for _, b := range m.log[j+1:] {
			if b.stamp-a.stamp > (b.real - a.real).Milliseconds() {
				return fmt.Sprintf("%d to %d within %v", a.stamp, b.stamp, b.real-a.real)
			}
		}
	}
	return ""
}

// explore walks through every state that can be reached within so many steps, and
// returns how many there are and the first broken one.
func explore(mutant modelMutant, size modelSize) (states int, violation string) {
	level, seen := []model{{owner: -1}}, map[string]bool{}
	for range size.depth {
		next := []model{}
		for _, m := range level {
			for _, step := range m.steps(mutant, size) {
				one := m
				step(&one)
				key := fmt.Sprint(one)
				if seen[key] {
					continue
				}
				seen[key] = true
				if violation = one.violation(); violation != "" {
					return len(seen), violation
				}
				next = append(next, one)
			}
		}
		level = next
	}
	return len(seen), ""
}
