package place

import (
	"caperwheel/internal/errs"
	"caperwheel/internal/quota"
	"caperwheel/internal/wire"
)

// Machine is the replicated state of a place.
//
// Invariants: clock never decreases; messages and archive together hold every id ever recorded until it is trimmed;
// keys lists, by ordering key and in the order of acceptance, the ordered messages that still block the key, so only
// the first of a list may run; outbox holds each call-back until another place has accepted it.
type Machine struct {
	clock                int64
	seq                  int64               // number of messages accepted so far
	messages             map[string]*Message // by id
	archive              map[string]archived // by id
	interned             map[string]string   // names of lanes, each stored once
	idempotencyKeys      map[string]string   // idempotency key -> id of the message
	keys                 map[string][]string // ordering key -> ids of messages
	outbox               map[string]Child    // call-backs that are to be sent to other places, by id
	pendingNotifications map[string]bool     // messages that are over and whose callers must still be notified
	bytes                int64               // of the bodies and heads that are held
	level                int64               // the feature level that the group has agreed on
	keyHolders           map[string]bool     // messages that have succeeded although a later run of theirs may still go on
	queue                queue
	ledger               *quota.Allocator // of tenants' limits; empty below LevelQuotas
	levelRaisedAt        int64            // place time; 0 below LevelClaims
	claims               *claims          // of operation keys; empty below LevelClaims
}

// New returns an empty place.
func New() *Machine {
	return &Machine{messages: map[string]*Message{}, archive: map[string]archived{}, interned: map[string]string{},
		idempotencyKeys: map[string]string{}, keys: map[string][]string{}, outbox: map[string]Child{}, pendingNotifications: map[string]bool{}, keyHolders: map[string]bool{},
		queue: newQueue(), ledger: quota.NewAllocator(), claims: newClaims()}
}

// Clock returns the place time of the newest command.
func (m *Machine) Clock() int64 { return m.clock }

// IsIdle reports whether nothing depends on place time except for the retention of messages that are over.
func (m *Machine) IsIdle() bool { return len(m.messages) == 0 }

// Count returns how many messages the place holds, and the bytes of their bodies and heads.
func (m *Machine) Count() (int, int64) { return len(m.messages) + len(m.archive), m.bytes }

// Outbox returns the call-backs that another place must still accept, by id.
func (m *Machine) Outbox() map[string]Child { return m.outbox }

// Apply applies a committed command.
func (m *Machine) Apply(c Command) Result {
	m.clock = max(m.clock, c.At)
	m.claims.forget(m.clock)
	result := m.dispatch(c, m.Find(c.Id))
	m.archiveIfFinal(c.Id)
	m.releaseHeldKeys()
	return result
}

// dispatch carries out a command on message e; nil for none. An archived message does not change, as e is a copy then.
func (m *Machine) dispatch(c Command, e *Message) Result {
	switch c.Kind {
	case CmdTake:
		return m.take(c, e)
	case CmdTombstone:
		if e != nil {
			return Result{Id: c.Id, State: e.State, IsRebindable: isRebindable(e)}
		}
		e = &Message{Id: c.Id, Lane: c.Lane, ForgetAt: m.clock + c.Retain}
		if m.level >= LevelClaims {
			e.Cause = c.Cause
		}
		m.messages[c.Id] = e
		v := m.finish(e, e.transition(Tombstone))
		v.IsRebindable = isRebindable(e)
		return v
	case CmdTrim:
		for _, id := range c.Ids {
			m.forget(id)
		}
		return Result{}
	case CmdOutboxDelivered:
		parent := m.outbox[c.Id].Parent
		delete(m.outbox, c.Id)
		m.archiveIfFinal(parent)
		return Result{Id: c.Id}
	case CmdNotified:
		for _, id := range c.Ids {
			m.markNotified(id)
		}
		return Result{}
	case CmdLevel:
		return m.raiseLevel(c.Level)
	case CmdCount:
		return m.applyCounts(c)
	case CmdClaim:
		return m.claim(c)
	}
	if e == nil {
		return refuse(errs.Unknown, c.Id, "no such message")
	}
	switch c.Kind {
	case CmdStart:
		return m.start(c, e)
	case CmdRunSucceeded:
		return m.runSucceeded(c, e)
	case CmdRunFailed:
		return m.runFailed(c, e)
	case CmdClose:
		return m.failOrExpire(c, e)
	}
	return refuse(errs.Internal, c.Id, "unknown kind of command")
}

// take accepts a message. A repeat, by id, operation key or idempotency key, returns the message that was accepted
// first.
func (m *Machine) take(c Command, e *Message) Result {
	if e != nil { // a repeat, or a tombstone was committed first
		if e.State == Tombstone {
			v := refuse(errs.Rejected, c.Id, "the message was settled as not accepted")
			v.IsRebindable = isRebindable(e)
			return v
		}
		if e.Checksum != c.Checksum {
			return payloadConflict(c.Id)
		}
		return Result{Id: c.Id, State: e.State, IsRepeat: true}
	}
	if known := m.FindClaim(c.claimed()); known != nil && known.Id != c.Id {
		return Result{Id: known.Id, Kind: errs.Bound, Text: "the operation key belongs to another message"}
	}
	m.seq++
	e = &Message{Id: c.Id, Seq: m.seq, Lane: c.Lane, Key: c.Key, Ordered: c.Ordered, IdempotencyKey: c.IdempotencyKey, ContentType: c.ContentType,
		Body: c.Body, Checksum: c.Checksum, Parent: c.Parent, Deadline: m.clock + c.Deadline, Due: m.clock + c.Delay, Head: c.Head, Notify: c.Notify,
		StartBy: c.startBy(m.clock)}
	if c.IdempotencyKey != "" {
		if existing := m.Find(m.idempotencyKeys[e.idempotencyKey()]); existing != nil {
			if existing.Checksum != c.Checksum {
				return payloadConflict(existing.Id)
			}
			return Result{Id: existing.Id, State: existing.State, IsRepeat: true}
		}
		m.idempotencyKeys[e.idempotencyKey()] = c.Id
	}
	m.recordClaim(c)
	m.messages[c.Id] = e
	m.bytes += e.size()
	if e.Ordered {
		m.keys[e.orderKey()] = append(m.keys[e.orderKey()], e.Id)
	}
	return m.finish(e, e.transition(Held))
}

// start records the start of the next run of a held message.
func (m *Machine) start(c Command, e *Message) Result {
	if e.State != Held || c.Attempt != e.Attempt+1 || !m.isFirstOfKey(e) {
		return refuse(errs.Conflict, e.Id, "the message is not held, not first of its key, or the run is not its next one")
	}
	e.IsHoldingKey = false
	e.Attempt, e.Adapter, e.Boot, e.Pool, e.Worker = c.Attempt, c.Adapter, c.Boot, c.Pool, c.Worker
	e.Due = m.clock + c.Deadline
	return m.finish(e, e.transition(Started))
}

// runSucceeded records the success of a run. The success of an older run does not end the message during a newer one,
// but is kept in LateProof until the newer run has an outcome.
func (m *Machine) runSucceeded(c Command, e *Message) Result {
	switch {
	case e.State.IsOver():
		return Result{Id: e.Id, State: e.State}
	case c.Proof.Attempt < 1 || c.Proof.Attempt > e.Attempt:
		return refuse(errs.Conflict, e.Id, "the message has had no such run")
	case e.State == Started && c.Proof.Attempt != e.Attempt:
		e.LateProof = c.Proof
		return Result{Id: e.Id, State: e.State}
	}
	return m.close(e, Ended, c, c.Proof)
}

// runFailed records that a run ended without success. The message is held again, or ends by an older run's success.
func (m *Machine) runFailed(c Command, e *Message) Result {
	if e.State != Started || c.Attempt != e.Attempt {
		return Result{Id: e.Id, State: e.State} // a repeat, or about an older run
	}
	if e.LateProof.Attempt > 0 {
		if m.level >= LevelFreesKeys && c.HoldsKey && e.Ordered {
			e.Due, e.IsHoldingKey = m.clock+c.Deadline, true // the run that is reported as failed may go on until then
		}
		return m.close(e, Ended, c, e.LateProof)
	}
	e.Cause = c.Cause
	if c.CountsAsAttempt {
		e.CountedAttempts++
	}
	e.Due, e.IsHoldingKey = m.clock+c.Deadline, c.HoldsKey && e.Ordered
	return m.finish(e, e.transition(Held))
}

// failOrExpire ends a message as failed or expired, unless an older run has succeeded: that success counts instead.
func (m *Machine) failOrExpire(c Command, e *Message) Result {
	if e.State.IsOver() || c.Attempt != e.Attempt {
		return Result{Id: e.Id, State: e.State}
	}
	if e.LateProof.Attempt > 0 {
		return m.close(e, Ended, c, e.LateProof)
	}
	e.Cause = c.Cause
	if c.CountsAsAttempt {
		e.CountedAttempts++
	}
	e.IsHoldingKey = c.HoldsKey && e.Ordered
	return m.close(e, State(c.State), c, wire.Proof{})
}

// close moves a message to a final state, with everything that follows from that.
func (m *Machine) close(e *Message, to State, c Command, proof wire.Proof) Result {
	if err := e.transition(to); err != nil {
		return refuse(errs.Conflict, e.Id, err.Error())
	}
	e.Proof, e.LateProof, e.ForgetAt = proof, wire.Proof{}, m.clock+c.Retain
	if e.Notify != "" {
		e.IsNotificationPending, m.pendingNotifications[e.Id] = true, true
	}
	if c.DropsBody && to == Ended {
		m.dropBytes(e)
	}
	if c.Child.Id != "" {
		e.Child = c.Child.Id
		m.outbox[c.Child.Id] = c.Child
	}
	if e.Ordered && !e.IsHoldingKey {
		m.releaseKey(e)
	}
	m.trackKeyHolder(e)
	return m.finish(e, nil)
}

// finish returns the result of a state transition, and updates the queue if it succeeded.
func (m *Machine) finish(e *Message, err error) Result {
	if err != nil {
		return refuse(errs.Conflict, e.Id, err.Error())
	}
	m.queue.reindex(m, e)
	return Result{Id: e.Id, State: e.State}
}
