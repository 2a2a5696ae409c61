package groupclock

import (
	"fmt"
	"time"
)

// modelReplica is a replica of the model, which consists of the replicas of a group, its committed commands, a cache
// of its time, and the real time. Each step is one of these: a second passes; a replica applies the next command; a
// replica that has applied all commands becomes the owner, by its own count or by the cached time; the owner commits
// a command, or reports its time to the cache, which receives it at once or a second late; a replica is restarted,
// with a snapshot of the commands that it has applied or with its log alone; the cache is restarted.
type modelReplica struct {
	clock         Clock
	applied       int
	snapshotCount int // commands in its snapshot on disk
	loggedCount   int // commands that its log had when its process started
	start         time.Duration
}

// modelCommand is a committed command.
type modelCommand struct {
	stamp     int64
	real      time.Duration
	ownership int // number of the ownership
}

// modelMutant is a variant of the clock without one of its guards.
type modelMutant int

const (
	noMutant           modelMutant = iota
	keepsOwnCount                  // a replica keeps its own count if that is ahead
	acceptsAnyTerm                 // a reading is valid whichever ownership it was reported in
	acceptsLateReading             // a reading is valid also after the first command of the ownership
	countsAllAsLogged              // every command counts as one that the log had when the process started
)

// modelSize bounds what is explored.
type modelSize struct {
	replicas int
	restarts bool
	hasCache bool
	depth    int
}

// model is a state of the model.
type model struct {
	now             time.Duration
	replicas        [3]modelReplica
	log             []modelCommand
	owner           int // index of the owner; -1 for none
	ownerships      int // number of ownerships so far
	newestOwnership int // the ownership of the newest command when the owner took over
	cached          Reading
	cachedAt        time.Duration // real time at which cached was received; the daemon's clock runs at the same rate
	inTransit       Reading       // a reading that arrives a second late
	sentAt          time.Duration
}

// own returns the time of a replica's own clock, which starts with its process.
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

// cache returns the cache in its current state.
func (m *model) cache() *Cache {
	k := &Cache{}
	if m.cached.Term > 0 {
		_ = k.Record(0, m.cached, m.cachedAt)
	}
	return k
}

// record records a reading in the cache.
func (m *model) record(reading Reading) {
	k := m.cache()
	_ = k.Record(0, reading, m.now)
	m.cached, _ = k.Lookup(0, m.now)
	m.cachedAt = m.now
}

// recoverTime sets the owner's clock to the cached time, if that is valid.
func (m *model) recoverTime(mutant modelMutant) {
	reading, isKnown := m.cache().Lookup(0, m.now)
	if !isKnown {
		return
	}
	own := Ownership{Term: int64(m.ownerships), NewestTerm: int64(m.newestOwnership)}
	if mutant == acceptsAnyTerm {
		own.NewestTerm = 0
	}
	_, _ = m.replicas[m.owner].clock.Recover(reading, own, m.own(m.owner))
}

// become makes a replica that has applied all commands the owner.
func (m *model) become(r int) {
	m.owner, m.ownerships, m.newestOwnership = r, m.ownerships+1, 0
	if len(m.log) > 0 {
		m.newestOwnership = m.log[len(m.log)-1].ownership
	}
}

// steps returns the steps that are possible next.
func (m *model) steps(mutant modelMutant, size modelSize) []func(*model) {
	out := []func(*model){func(m *model) { m.now += time.Second }}
	for r := range size.replicas {
		if m.replicas[r].applied < len(m.log) {
			out = append(out, func(m *model) { m.apply(r, mutant) })
		} else if r != m.owner {
			out = append(out, func(m *model) { m.become(r) })
			if m.cached.Term > 0 {
				out = append(out, func(m *model) { m.become(r); m.recoverTime(mutant) })
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

// cacheSteps returns the steps of the cache that are possible next.
func (m *model) cacheSteps(mutant modelMutant) []func(*model) {
	out := []func(*model){}
	if m.owner >= 0 {
		reading := Reading{int64(m.ownerships), m.replicas[m.owner].clock.At(m.own(m.owner))}
		out = append(out, func(m *model) { m.record(reading) }, func(m *model) { m.inTransit, m.sentAt = reading, m.now })
		if mutant == acceptsLateReading && m.cached.Term > 0 {
			out = append(out, func(m *model) { m.recoverTime(mutant) })
		}
	}
	if m.inTransit.Term > 0 && m.now > m.sentAt {
		out = append(out, func(m *model) { m.record(m.inTransit); m.inTransit = Reading{} })
	}
	if m.cached.Term > 0 {
		out = append(out, func(m *model) { m.cached, m.cachedAt = Reading{}, 0 }) // a restarted cache is empty
	}
	return out
}

// restart restarts the process of a replica, from a snapshot of everything that it has applied or from the log.
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

// violation describes two commands between which group time has advanced by more than real time; "" if there are none.
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

// explore visits every state that can be reached within size.depth steps, and returns their number and the first
// violation.
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
