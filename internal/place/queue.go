package place

import (
	"cmp"
	"slices"

	"github.com/emirpasic/gods/maps/treemap"
)

// queue orders what the owner may do next. It is derived from the machine's
// state, so it needs no place in the image.
//
// Invariants: a message that is over stands in over alone; one that is started
// in open; one that is held in deadline, until it has been told late, and in at
// most one of ready and pauses. Nothing else keeps a message alive: what is
// forgotten stands nowhere.
type queue struct {
	positions map[string][]position // id -> where it stands
	ready     map[string]*laneQueue
	delayed   *sortedSet // held, by when due
	expiries  *sortedSet // held, by expiry
	finished  *sortedSet // over, by when to forget
	running   map[string]bool
	picked    map[string]bool
}

// laneQueue holds the ready messages of one lane. Fresh ones were never run; those
// to be run again stand apart, so that they cannot crowd the fresh ones out.
type laneQueue struct {
	fresh, retries *sortedSet
	picks          int
}

// Of retryPickInterval turns one goes to a repeated run while both wait; of oldestPickInterval
// turns one goes to the oldest, however late.
const retryPickInterval, oldestPickInterval = 4, 4

// rank orders messages by a moment, and those of one moment as they were taken.
type rank struct {
	at, seq int64
	id      string
}

// sortedSet is a sorted set of messages; entering and leaving take logarithmic time.
type sortedSet struct{ tree *treemap.Map }

type position struct {
	set  *sortedSet
	rank rank
}

func newSortedSet() *sortedSet {
	return &sortedSet{treemap.NewWith(func(a, b any) int {
		x, y := a.(rank), b.(rank)
		return cmp.Or(cmp.Compare(x.at, y.at), cmp.Compare(x.seq, y.seq), cmp.Compare(x.id, y.id))
	})}
}

func newLaneQueue() *laneQueue { return &laneQueue{fresh: newSortedSet(), retries: newSortedSet()} }

func (l *laneQueue) size() int { return l.fresh.tree.Size() + l.retries.tree.Size() }

// first returns the message of the least rank.
func (o *sortedSet) first() (at int64, e *Message) {
	key, value := o.tree.Min()
	if key == nil {
		return 0, nil
	}
	return key.(rank).at, value.(*Message)
}

// next gives the message that can still begin when it is wanted and is wanted
// first; else the least late, which is of the key that is soonest in time again;
// where the turn is that of the late ones, or nothing is wanted, the oldest.
func (o *sortedSet) next(now int64, isOldestPick bool) *Message {
	if !isOldestPick {
		if _, value := o.tree.Ceiling(rank{at: now}); value != nil {
			return value.(*Message)
		}
		if key, value := o.tree.Floor(rank{at: now}); key != nil && key.(rank).at > 0 {
			return value.(*Message)
		}
	}
	_, e := o.first()
	return e
}

func newQueue() queue {
	return queue{positions: map[string][]position{}, ready: map[string]*laneQueue{}, running: map[string]bool{}, picked: map[string]bool{},
		delayed: newSortedSet(), expiries: newSortedSet(), finished: newSortedSet()}
}

// add has a message stand in a set; leave has it stand nowhere, removeFrom not
// in one set.
func (q *queue) add(e *Message, set *sortedSet, at int64) {
	r := rank{at, e.Seq, e.Id}
	set.tree.Put(r, e)
	q.positions[e.Id] = append(q.positions[e.Id], position{set, r})
}

func (q *queue) remove(e *Message) {
	for _, s := range q.positions[e.Id] {
		s.set.tree.Remove(s.rank)
	}
	delete(q.positions, e.Id)
	delete(q.running, e.Id)
	delete(q.picked, e.Id)
}

func (q *queue) removeFrom(e *Message, set *sortedSet) {
	q.positions[e.Id] = slices.DeleteFunc(q.positions[e.Id], func(s position) bool {
		if s.set == set {
			set.tree.Remove(s.rank)
		}
		return s.set == set
	})
	if len(q.positions[e.Id]) == 0 {
		delete(q.positions, e.Id)
	}
}

// reindex puts a message where its state asks for.
func (q *queue) reindex(m *Machine, e *Message) {
	q.remove(e)
	switch {
	case e.State == Started:
		q.running[e.Id] = true
		return
	case e.State.IsOver():
		q.add(e, q.finished, e.ForgetAt)
		return
	}
	q.add(e, q.expiries, e.expiry())
	switch {
	case !m.isFirstOfKey(e): // waits in its key's list
	case e.Due > m.clock:
		q.add(e, q.delayed, e.Due)
	default:
		q.makeReady(e)
	}
}

func (q *queue) makeReady(e *Message) {
	l := q.ready[e.Lane]
	if l == nil {
		l = newLaneQueue()
		q.ready[e.Lane] = l
	}
	if e.Attempt == 0 {
		q.add(e, l.fresh, e.StartBy)
	} else {
		q.add(e, l.retries, e.StartBy)
	}
}

// releaseDelayed moves messages whose pause is over to the ready ones.
func (q *queue) releaseDelayed(now int64) {
	for {
		at, e := q.delayed.first()
		if e == nil || at > now {
			return
		}
		q.removeFrom(e, q.delayed)
		q.makeReady(e)
	}
}

// Ready counts the messages of each lane that may run at the given place time.
func (m *Machine) Ready(now int64) map[string]int {
	m.queue.releaseDelayed(now)
	out := map[string]int{}
	for name, l := range m.queue.ready {
		if n := l.size(); n > 0 {
			out[name] = n
		}
	}
	return out
}

// Pick gives the message of the lane that is next to run, and takes it out of
// the ready ones until its state changes; Unpick puts it back.
func (m *Machine) Pick(name string, now int64) *Message {
	q := &m.queue
	q.releaseDelayed(now)
	l := q.ready[name]
	if l == nil {
		return nil
	}
	l.picks++
	from := l.fresh
	if _, fresh := l.fresh.first(); fresh == nil || l.retries.tree.Size() > 0 && l.picks%retryPickInterval == 0 {
		from = l.retries
	}
	for {
		e := from.next(now, l.picks%oldestPickInterval == 0)
		if e == nil {
			return nil
		}
		q.removeFrom(e, from)
		if e.Deadline > now { // else it is about to expire
			q.picked[e.Id] = true
			return e
		}
	}
}

// Unpick undoes Pick for a message that was not started after all.
func (m *Machine) Unpick(e *Message) {
	if m.queue.picked[e.Id] && e.State == Held {
		delete(m.queue.picked, e.Id)
		m.queue.makeReady(e)
	}
}

// Late gives messages that are held beyond their patience; each is told once.
func (m *Machine) TakeExpired(now int64) []*Message {
	out := []*Message{}
	for {
		at, e := m.queue.expiries.first()
		if e == nil || at > now {
			return out
		}
		m.queue.removeFrom(e, m.queue.expiries)
		out = append(out, e)
	}
}

// TakeForgettable gives the ids of up to most messages that are over and may be forgotten.
func (m *Machine) TakeForgettable(now int64, limit int) []string {
	out := []string{}
	for len(out) < limit {
		at, e := m.queue.finished.first()
		if e == nil || at > now {
			break
		}
		m.queue.removeFrom(e, m.queue.finished)
		out = append(out, e.Id)
	}
	return append(out, m.forgettableArchived(now, limit-len(out))...)
}

// Running gives the messages whose run is under way.
func (m *Machine) Running() []*Message {
	out := []*Message{}
	for id := range m.queue.running {
		out = append(out, m.messages[id])
	}
	slices.SortFunc(out, func(a, b *Message) int { return cmp.Compare(a.Seq, b.Seq) })
	return out
}
