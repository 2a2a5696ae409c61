package place

import (
	"caperwheel/internal/errs"
	"caperwheel/internal/quota"
	"caperwheel/internal/wire"
)

// Machine is the replicated state of a place.
//
// Invariants: clock never goes back; messages and archive hold every id ever taken
// until it is trimmed; keys lists, in the order taken, the ordered messages that are
// not over, so only the first of a list may run; outbox holds each call-back
// until another place has taken it.
type Machine struct {
	clock    int64
	seq      int64
	messages map[string]*Message
	archive  map[string]archived
	names    map[string]string // of lanes, each stored once
	idems    map[string]string
	keys     map[string][]string
	outbox   map[string]Child
	owed     map[string]bool // messages that are over and of whose end somebody must be told
	bytes    int64
	level    int64           // the feature level that the group has agreed on
	holders  map[string]bool // messages that have succeeded while a later run of theirs may go on
	queue    queue
	counts   *quota.Ledger // of tenants; empty before the level LevelQuotas
}

// New gives an empty place.
func New() *Machine {
	return &Machine{messages: map[string]*Message{}, archive: map[string]archived{}, names: map[string]string{},
		idems: map[string]string{}, keys: map[string][]string{}, outbox: map[string]Child{}, owed: map[string]bool{}, holders: map[string]bool{},
		queue: newQueue(), counts: quota.NewLedger()}
}

// Verdict is what a command came to. A Kind other than "" means that it
// changed nothing.
type Verdict struct {
	Id    string
	State State
	Kind  errs.Kind
	Text  string

	IsRepeat bool              // of a Take: the message is held since an earlier one
	Grants   []wire.QuotaGrant // of a Count
}

// otherBytes is the verdict on a Take of a message that is held with other bytes.
func otherBytes(id string) Verdict {
	return Verdict{Id: id, Kind: errs.Conflict, Text: "the same Idempotency-Key came with other bytes", IsRepeat: true}
}

func no(kind errs.Kind, id, text string) Verdict { return Verdict{Id: id, Kind: kind, Text: text} }

// Clock is the place time of the newest command.
func (m *Machine) Clock() int64 { return m.clock }

// IsIdle reports whether nothing is under way: no message waits for time to pass, but
// for those whose end is kept for a while.
func (m *Machine) IsIdle() bool { return len(m.messages) == 0 }

// Count reports how many messages and body bytes the place holds.
func (m *Machine) Count() (int, int64) { return len(m.messages) + len(m.archive), m.bytes }

// Outbox gives the call-backs that must still be taken elsewhere.
func (m *Machine) Outbox() map[string]Child { return m.outbox }

// Apply takes one committed command in.
func (m *Machine) Apply(c Command) Verdict {
	m.clock = max(m.clock, c.At)
	verdict := m.change(c, m.Find(c.Id))
	m.settle(c.Id)
	m.freeKeys()
	return verdict
}

// change does what a command asks for. One for a message that is settled changes
// nothing of it: e is a copy then.
func (m *Machine) change(c Command, e *Message) Verdict {
	switch c.Kind {
	case CmdTake:
		return m.take(c, e)
	case CmdTomb:
		if e != nil {
			return Verdict{Id: c.Id, State: e.State}
		}
		e = &Message{Id: c.Id, Lane: c.Lane, Over: m.clock + c.Retain}
		m.messages[c.Id] = e
		return m.finish(e, e.move(Tomb))
	case CmdTrim:
		for _, id := range c.Ids {
			m.forget(id)
		}
		return Verdict{}
	case CmdSent:
		parent := m.outbox[c.Id].Parent
		delete(m.outbox, c.Id)
		m.settle(parent)
		return Verdict{Id: c.Id}
	case CmdTold:
		for _, id := range c.Ids {
			m.told(id)
		}
		return Verdict{}
	case CmdLevel:
		m.level = max(m.level, c.Level)
		return Verdict{}
	case CmdCount:
		return m.count(c)
	}
	if e == nil {
		return no(errs.Unknown, c.Id, "no such message")
	}
	switch c.Kind {
	case CmdStart:
		return m.start(c, e)
	case CmdEnd:
		return m.end(c, e)
	case CmdBack:
		return m.back(c, e)
	case CmdClose:
		return m.shut(c, e)
	}
	return no(errs.Internal, c.Id, "unknown command")
}

func (m *Machine) take(c Command, e *Message) Verdict {
	if e != nil { // the same take again, or a tombstone came first
		if e.State == Tomb {
			return no(errs.Rejected, c.Id, "settled as not taken")
		}
		if e.Sum != c.Sum {
			return otherBytes(c.Id)
		}
		return Verdict{Id: c.Id, State: e.State, IsRepeat: true}
	}
	m.seq++
	e = &Message{Id: c.Id, Seq: m.seq, Lane: c.Lane, Key: c.Key, Ordered: c.Ordered, Idem: c.Idem, Ctype: c.Ctype,
		Body: c.Body, Sum: c.Sum, Parent: c.Parent, Deadline: m.clock + c.Deadline, Due: m.clock + c.Delay, Head: c.Head, Notify: c.Notify,
		Wanted: c.wanted(m.clock)}
	if c.Idem != "" {
		if was := m.Find(m.idems[e.idemOf()]); was != nil {
			if was.Sum != c.Sum {
				return otherBytes(was.Id)
			}
			return Verdict{Id: was.Id, State: was.State, IsRepeat: true}
		}
		m.idems[e.idemOf()] = c.Id
	}
	m.messages[c.Id] = e
	m.bytes += e.size()
	if e.Ordered {
		m.keys[e.keyOf()] = append(m.keys[e.keyOf()], e.Id)
	}
	return m.finish(e, e.move(Held))
}

func (m *Machine) start(c Command, e *Message) Verdict {
	if e.State != Held || c.Attempt != e.Attempt+1 || !m.isFirst(e) {
		return no(errs.Conflict, e.Id, "not to be started")
	}
	e.IsHolder = false
	e.Attempt, e.Adapter, e.Boot, e.Pool, e.Worker = c.Attempt, c.Adapter, c.Boot, c.Pool, c.Worker
	e.Due = m.clock + c.Deadline
	return m.finish(e, e.move(Started))
}

// end records a success. An answer of an older run does not end a message
// while a newer run is open: it waits for that run's outcome.
func (m *Machine) end(c Command, e *Message) Verdict {
	switch {
	case e.State.IsOver():
		return Verdict{Id: e.Id, State: e.State}
	case c.Proof.Attempt < 1 || c.Proof.Attempt > e.Attempt:
		return no(errs.Conflict, e.Id, "no such run")
	case e.State == Started && c.Proof.Attempt != e.Attempt:
		e.Late = c.Proof
		return Verdict{Id: e.Id, State: e.State}
	}
	return m.close(e, Ended, c, c.Proof)
}

func (m *Machine) back(c Command, e *Message) Verdict {
	if e.State != Started || c.Attempt != e.Attempt {
		return Verdict{Id: e.Id, State: e.State} // a repeat, or an older run
	}
	if e.Late.Attempt > 0 {
		if m.level >= LevelFreesKeys && c.Hold && e.Ordered {
			e.Due, e.IsHolder = m.clock+c.Deadline, true // the run that is brought back may go on until then
		}
		return m.close(e, Ended, c, e.Late)
	}
	e.Cause = c.Cause
	if c.Costs {
		e.Spent++
	}
	e.Due, e.IsHolder = m.clock+c.Deadline, c.Hold && e.Ordered
	return m.finish(e, e.move(Held))
}

func (m *Machine) shut(c Command, e *Message) Verdict {
	if e.State.IsOver() || c.Attempt != e.Attempt {
		return Verdict{Id: e.Id, State: e.State}
	}
	if e.Late.Attempt > 0 {
		return m.close(e, Ended, c, e.Late)
	}
	e.Cause = c.Cause
	if c.Costs {
		e.Spent++
	}
	e.IsHolder = c.Hold && e.Ordered
	return m.close(e, State(c.State), c, wire.Proof{})
}

func (m *Machine) close(e *Message, to State, c Command, proof wire.Proof) Verdict {
	if err := e.move(to); err != nil {
		return no(errs.Conflict, e.Id, err.Error())
	}
	e.Proof, e.Late, e.Over = proof, wire.Proof{}, m.clock+c.Retain
	if e.Notify != "" {
		e.IsOwed, m.owed[e.Id] = true, true
	}
	if c.Drop && to == Ended {
		m.drop(e)
	}
	if c.Child.Id != "" {
		e.Child = c.Child.Id
		m.outbox[c.Child.Id] = c.Child
	}
	if e.Ordered && !e.IsHolder {
		m.release(e)
	}
	m.noteHolder(e)
	return m.finish(e, nil)
}

func (m *Machine) finish(e *Message, err error) Verdict {
	if err != nil {
		return no(errs.Conflict, e.Id, err.Error())
	}
	m.queue.note(m, e)
	return Verdict{Id: e.Id, State: e.State}
}
