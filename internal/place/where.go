package place

// WaitsFor names what a message waits for.
type WaitsFor string

// What a message may wait for.
const (
	WaitNothing WaitsFor = "nothing"         // it is over
	WaitKey     WaitsFor = "another message" // of its key, before it
	WaitTime    WaitsFor = "time"            // its delay, or a pause between two runs
	WaitSlot    WaitsFor = "a slot"          // of a worker
	WaitStart   WaitsFor = "its start"       // which is being committed
	WaitEnd     WaitsFor = "its end"         // which is being committed, after its patience
	WaitRun     WaitsFor = "its run"
)

// Where is where a message stands at its place. Times are place time, in milliseconds.
type Where struct {
	Wait   WaitsFor
	Behind string // the message that it waits for
	Since  int64  // how long it has waited so; -1 where that is not known
	Left   int64  // how long it will; -1 where that is not known
}

// Where tells where a message stands at a place time, as the owner has it.
func (m *Machine) Where(id string, now int64) (Where, bool) {
	e := m.messages[id]
	switch {
	case e == nil:
		_, isArchived := m.archive[id]
		return Where{Wait: WaitNothing, Since: -1, Left: -1}, isArchived
	case e.State.IsOver():
		return Where{Wait: WaitNothing, Since: -1, Left: -1}, true
	case e.State == Started:
		return Where{Wait: WaitRun, Since: -1, Left: -1}, true
	case !m.isFirst(e):
		return Where{Wait: WaitKey, Behind: m.keys[e.keyOf()][0], Since: -1, Left: -1}, true
	case e.Due > now:
		return Where{Wait: WaitTime, Since: -1, Left: e.Due - now}, true
	case m.queue.picked[id]:
		return Where{Wait: WaitStart, Since: now - e.Due, Left: -1}, true
	case e.Deadline <= now:
		return Where{Wait: WaitEnd, Since: now - e.Deadline, Left: -1}, true
	}
	return Where{Wait: WaitSlot, Since: now - e.Due, Left: -1}, true
}

// Delayed returns how many messages wait for their time, and how much longer the first of them
// does at a place time, in milliseconds; 0 where none waits.
func (m *Machine) Delayed(now int64) (count int, first int64) {
	count = m.queue.pauses.tree.Size()
	if at, e := m.queue.pauses.first(); e != nil {
		first = max(0, at-now)
	}
	return count, first
}
