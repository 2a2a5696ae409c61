package place

// WaitReason names what a message waits for.
type WaitReason string

// What a message may wait for.
const (
	WaitNothing WaitReason = "nothing"         // it is over
	WaitKey     WaitReason = "another message" // of its key, before it
	WaitTime    WaitReason = "time"            // its delay, or a pause between two runs
	WaitSlot    WaitReason = "a slot"          // of a worker
	WaitStart   WaitReason = "its start"       // which is being committed
	WaitEnd     WaitReason = "its end"         // which is being committed, after its patience
	WaitRun     WaitReason = "its run"
)

// WaitStatus is where a message stands at its place. Times are place time, in milliseconds.
type WaitStatus struct {
	Reason    WaitReason
	BlockedBy string // the message that it waits for
	Since     int64  // how long it has waited so; -1 where that is not known
	Remaining int64  // how long it will; -1 where that is not known
}

// WaitStatus tells where a message stands at a place time, as the owner has it.
func (m *Machine) WaitStatus(id string, now int64) (WaitStatus, bool) {
	e := m.messages[id]
	switch {
	case e == nil:
		_, isArchived := m.archive[id]
		return WaitStatus{Reason: WaitNothing, Since: -1, Remaining: -1}, isArchived
	case e.State.IsOver():
		return WaitStatus{Reason: WaitNothing, Since: -1, Remaining: -1}, true
	case e.State == Started:
		return WaitStatus{Reason: WaitRun, Since: -1, Remaining: -1}, true
	case !m.isFirstOfKey(e):
		return WaitStatus{Reason: WaitKey, BlockedBy: m.keys[e.orderKey()][0], Since: -1, Remaining: -1}, true
	case e.Due > now:
		return WaitStatus{Reason: WaitTime, Since: -1, Remaining: e.Due - now}, true
	case m.queue.picked[id]:
		return WaitStatus{Reason: WaitStart, Since: now - e.Due, Remaining: -1}, true
	case e.Deadline <= now:
		return WaitStatus{Reason: WaitEnd, Since: now - e.Deadline, Remaining: -1}, true
	}
	return WaitStatus{Reason: WaitSlot, Since: now - e.Due, Remaining: -1}, true
}

// Delayed returns how many messages wait for their time, and how much longer the first of them
// does at a place time, in milliseconds; 0 where none waits.
func (m *Machine) Delayed(now int64) (count int, first int64) {
	count = m.queue.delayed.tree.Size()
	if at, e := m.queue.delayed.first(); e != nil {
		first = max(0, at-now)
	}
	return count, first
}
