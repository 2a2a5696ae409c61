package place

import (
	"container/heap"
	"slices"
)

// queue orders what the owner may do next. It is derived from the machine's
// state, so it needs no place in the image.
//
// Invariant: an errand stands in at most one of the sets: ready (by lane,
// fresh or again), pausing, open, or over.
type queue struct {
	where  map[string]string // id -> set
	ready  map[string]*lane
	pauses timeHeap // held, due later
	cutoff timeHeap // held or started, by cutoff
	over   timeHeap // over, by when to forget
	open   map[string]bool
}

// lane holds the ready errands of one lane. Fresh ones were never run; those
// to be run again stand apart, so that they cannot crowd the fresh ones out.
type lane struct {
	fresh, again []*Errand
	turns        int
}

// againShare: of so many turns one goes to a repeated run while both wait.
const againShare = 4

func newQueue() queue {
	return queue{where: map[string]string{}, ready: map[string]*lane{}, open: map[string]bool{}}
}

type timed struct {
	at int64
	e  *Errand
}

type timeHeap []timed

func (h timeHeap) Len() int { return len(h) }
func (h timeHeap) Less(i, j int) bool {
	return h[i].at < h[j].at || h[i].at == h[j].at && h[i].e.Seq < h[j].e.Seq
}
func (h timeHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *timeHeap) Push(x any)   { *h = append(*h, x.(timed)) }
func (h *timeHeap) Pop() any {
	old := *h
	x := old[len(old)-1]
	*h = old[:len(old)-1]
	return x
}

// note puts an errand into the set that its state asks for.
func (q *queue) note(m *Machine, e *Errand) {
	q.leave(e)
	switch {
	case e.State == Started:
		q.where[e.Id] = "open"
		q.open[e.Id] = true
	case e.State.IsOver():
		q.where[e.Id] = "over"
		heap.Push(&q.over, timed{e.Over, e})
	case !m.isFirst(e): // waits in its key's list
		heap.Push(&q.cutoff, timed{e.Cutoff, e})
	case e.Due > m.clock:
		q.where[e.Id] = "pause"
		heap.Push(&q.pauses, timed{e.Due, e})
		heap.Push(&q.cutoff, timed{e.Cutoff, e})
	default:
		q.enter(e)
		heap.Push(&q.cutoff, timed{e.Cutoff, e})
	}
}

func (q *queue) enter(e *Errand) {
	l := q.ready[e.Lane]
	if l == nil {
		l = &lane{}
		q.ready[e.Lane] = l
	}
	q.where[e.Id] = "ready"
	if e.Attempt == 0 {
		l.fresh = append(l.fresh, e)
	} else {
		l.again = append(l.again, e)
	}
}

func (q *queue) leave(e *Errand) {
	switch q.where[e.Id] {
	case "open":
		delete(q.open, e.Id)
	case "ready":
		if l := q.ready[e.Lane]; l != nil {
			isIt := func(x *Errand) bool { return x == e }
			l.fresh, l.again = slices.DeleteFunc(l.fresh, isIt), slices.DeleteFunc(l.again, isIt)
		}
	}
	delete(q.where, e.Id)
}

func (q *queue) drop(e *Errand) { q.leave(e) }

// wake moves errands whose pause is over to the ready ones.
func (q *queue) wake(m *Machine, now int64) {
	for len(q.pauses) > 0 && q.pauses[0].at <= now {
		e := heap.Pop(&q.pauses).(timed).e
		if q.where[e.Id] == "pause" && e.Due <= now && m.errands[e.Id] == e {
			q.enter(e)
		}
	}
}

// Ready counts the errands of each lane that may run at the given place time.
func (m *Machine) Ready(now int64) map[string]int {
	m.queue.wake(m, now)
	out := map[string]int{}
	for name, l := range m.queue.ready {
		if n := len(l.fresh) + len(l.again); n > 0 {
			out[name] = n
		}
	}
	return out
}

// Pick gives the errand of the lane that is next to run, and takes it out of
// the ready ones until its state changes; Unpick puts it back.
func (m *Machine) Pick(name string, now int64) *Errand {
	m.queue.wake(m, now)
	l := m.queue.ready[name]
	if l == nil {
		return nil
	}
	l.turns++
	from := &l.fresh
	if len(l.fresh) == 0 || len(l.again) > 0 && l.turns%againShare == 0 {
		from = &l.again
	}
	for len(*from) > 0 {
		e := (*from)[0]
		*from = (*from)[1:]
		if e.State == Held && e.Cutoff > now {
			m.queue.where[e.Id] = "picked"
			return e
		}
	}
	return nil
}

// Unpick undoes Pick for an errand that was not started after all.
func (m *Machine) Unpick(e *Errand) {
	if m.queue.where[e.Id] == "picked" && e.State == Held {
		m.queue.enter(e)
	}
}

// Late gives errands that are held beyond their cutoff.
func (m *Machine) Late(now int64) []*Errand {
	out := []*Errand{}
	for len(m.queue.cutoff) > 0 && m.queue.cutoff[0].at <= now {
		e := heap.Pop(&m.queue.cutoff).(timed).e
		if e.State == Held && m.errands[e.Id] == e && e.Cutoff <= now {
			out = append(out, e)
		}
	}
	return out
}

// Stale gives the ids of up to most errands that are over and may be forgotten.
func (m *Machine) Stale(now int64, most int) []string {
	out := []string{}
	for len(m.queue.over) > 0 && m.queue.over[0].at <= now && len(out) < most {
		out = append(out, heap.Pop(&m.queue.over).(timed).e.Id)
	}
	return out
}

// Open gives the errands whose run is under way.
func (m *Machine) Open() []*Errand {
	out := []*Errand{}
	for id := range m.queue.open {
		out = append(out, m.errands[id])
	}
	slices.SortFunc(out, func(a, b *Errand) int { return int(a.Seq - b.Seq) })
	return out
}
