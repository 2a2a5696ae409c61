package place

import (
	"cmp"
	"slices"

	"github.com/emirpasic/gods/maps/treemap"
)

// queue orders the messages by what the owner may do with them next. It is derived from the machine's state, so it is
// not part of snapshots.
//
// Invariants: a message that is over is only in finished, until TakeForgettable returns it; a started one is only in
// running; a held one is in expiries, until TakeExpired returns it, and in at most one of ready and delayed.
type queue struct {
	positions map[string][]position // the positions of each message, by id
	ready     map[string]*laneQueue // held messages that may run, by lane
	delayed   *sortedSet            // held messages that may not run yet, by Due
	expiries  *sortedSet            // held messages, by expiry
	finished  *sortedSet            // messages that are over, by ForgetAt
	running   map[string]bool       // started messages
	picked    map[string]bool       // messages that Pick has returned and whose state has not changed since
}

// laneQueue holds the ready messages of one lane, ordered by StartBy. Messages that have run before are kept apart, so
// that they cannot starve the fresh ones.
type laneQueue struct {
	fresh, retries *sortedSet
	picks          int // picks so far
}

// While both kinds are ready, one of retryPickInterval picks goes to a retry. One of oldestPickInterval picks goes to
// the oldest message, however late it is.
const retryPickInterval, oldestPickInterval = 4, 4

// rank orders messages by a time, and messages of the same time by their acceptance.
type rank struct {
	at, seq int64
	id      string
}

// sortedSet is a sorted set of messages. Adding and removing take logarithmic time.
type sortedSet struct{ tree *treemap.Map }

// position is the rank of a message in a set.
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

// first returns the message of the lowest rank; nil if the set is empty.
func (o *sortedSet) first() (at int64, e *Message) {
	key, value := o.tree.Min()
	if key == nil {
		return 0, nil
	}
	return key.(rank).at, value.(*Message)
}

// next returns the message to pick from a set ordered by StartBy: the one with the earliest StartBy that has not
// passed; if all have passed, the least late one, so that the queue is in time again soonest. If this pick goes to
// the oldest message, or none has a StartBy, it returns the oldest.
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

// add adds a message to a set, ranked by a time.
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

// removeFrom removes a message from one set.
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

// reindex moves a message to the sets that correspond to its state.
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
	case !m.isFirstOfKey(e): // waits in the list of its key
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

// releaseDelayed moves the messages whose delay is over to the ready ones.
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

// Ready returns how many messages of each lane may run at a place time.
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

// Pick returns the message of a lane that is to run next, or nil, and removes it from the ready ones until its state
// changes or Unpick is called.
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
		if e.Deadline > now { // otherwise it is about to expire
			q.picked[e.Id] = true
			return e
		}
	}
}

// Unpick undoes Pick for a message that was not started.
func (m *Machine) Unpick(e *Message) {
	if m.queue.picked[e.Id] && e.State == Held {
		delete(m.queue.picked, e.Id)
		m.queue.makeReady(e)
	}
}

// TakeExpired returns the held messages whose expiry has passed; each is returned only once.
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

// TakeForgettable returns the ids of up to limit messages that may be forgotten; those not archived only once.
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

// Running returns the messages that have a run in progress, in the order of their acceptance.
func (m *Machine) Running() []*Message {
	out := []*Message{}
	for id := range m.queue.running {
		out = append(out, m.messages[id])
	}
	slices.SortFunc(out, func(a, b *Message) int { return cmp.Compare(a.Seq, b.Seq) })
	return out
}
