package place

// WaitReason is what a message waits for.
type WaitReason string

// The reasons for which a message may wait.
const (
	WaitNothing WaitReason = "nothing"         // the message is over
	WaitKey     WaitReason = "another message" // an earlier message blocks its key
	WaitTime    WaitReason = "time"            // its delay, or the backoff between two runs, is not over
	WaitSlot    WaitReason = "a slot"          // no worker has a free slot
	WaitStart   WaitReason = "its start"       // the start of its run is being committed
	WaitEnd     WaitReason = "its end"         // its deadline is over, and its expiry is being committed
	WaitRun     WaitReason = "its run"         // a run is in progress
)

// WaitStatus describes why and for how long a message waits. Times are place time, in milliseconds.
type WaitStatus struct {
	Reason    WaitReason
	BlockedBy string // id of the message that blocks its key, for WaitKey
	Since     int64  // how long it has waited for this reason; -1 if that is not known
	Remaining int64  // how much longer it will wait; -1 if that is not known
}

// WaitStatus returns what a message waits for as of a place time; false if the place does not hold the message. It is
// valid only on the owner, as other replicas pick no messages.
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

// Delayed returns how many messages wait for their delay or backoff, and in how many milliseconds after a place time
// the first of them may run; 0 if there are none.
func (m *Machine) Delayed(now int64) (count int, first int64) {
	count = m.queue.delayed.tree.Size()
	if at, e := m.queue.delayed.first(); e != nil {
		first = max(0, at-now)
	}
	return count, first
}
