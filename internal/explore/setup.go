package explore

import (
	"slices"

	"caperwheel/internal/group"
	"caperwheel/internal/wire"
)

// deliverAll syncs all unsynced writes and delivers all messages in flight, oldest first. Messages from or to the
// machines in cut stay in flight.
func (w *World) deliverAll(cut ...string) *World {
	for {
		next, isFound := w.nextPending(cut)
		if !isFound {
			return w
		}
		w = w.Next(next)
	}
}

// nextPending returns the next event of deliverAll. Syncs come before deliveries.
func (w *World) nextPending(cut []string) (next Event, isFound bool) {
	for _, e := range w.Enabled() {
		isCut := e.Kind == Deliver && (slices.Contains(cut, group.Name(e.Message.From)) || slices.Contains(cut, group.Name(e.Message.To)))
		if e.Kind == Sync {
			return e, true
		}
		if e.Kind == Deliver && !isCut && !isFound {
			next, isFound = e, true
		}
	}
	return next, isFound
}

// keepIf drops all messages in flight for which isKept returns false.
func (w *World) keepIf(isKept func(m *wire.GroupMsg) bool) *World {
	w = w.clone()
	w.inFlight = slices.DeleteFunc(slices.Clone(w.inFlight), func(m *wire.GroupMsg) bool { return !isKept(m) })
	return w
}

// dropAll drops all messages in flight.
func (w *World) dropAll() *World { return w.keepIf(func(*wire.GroupMsg) bool { return false }) }

// trigger applies an event of a kind that concerns one replica only.
func (w *World) trigger(kind Kind, at int) *World { return w.Next(Event{Kind: kind, Replica: at}) }

// elect makes a machine campaign until it owns the group; the machines in cut do not take part. First the election
// timeouts of the others pass, so that they grant votes; the messages that this sends are dropped. Messages that were
// in flight before stay so.
func (w *World) elect(at int, cut ...string) *World {
	inFlight := w.inFlight
	for i, r := range w.replicas {
		if v := r.stateMachine.View(); i != at && !slices.Contains(cut, r.name) && v.Role != group.Owner {
			w = w.trigger(Timeout, i)
		}
	}
	if w.replicas[at].stateMachine.View().Role == group.Owner {
		w = w.trigger(ClockJump, at)
	}
	w = w.clone()
	w.inFlight = slices.Clone(inFlight)
	for range 3 {
		w = w.trigger(Timeout, at)
		for w.replicas[at].stateMachine.View().Role != group.Owner {
			next, isFound := w.nextPending(cut)
			if !isFound {
				break
			}
			w = w.Next(next)
		}
		if w.replicas[at].stateMachine.View().Role == group.Owner {
			break
		}
	}
	return w
}

// splitVote makes the first two machines candidates in one term, with their vote requests in flight.
func splitVote(w *World) *World {
	for at := range 2 {
		w = w.trigger(Timeout, at)
		for w.replicas[at].stateMachine.View().Role == group.PreCandidate {
			next, _ := w.nextPending([]string{names[1-at]})
			w = w.Next(next)
		}
	}
	return w.keepIf(func(m *wire.GroupMsg) bool { return m.Kind == group.MsgVote })
}

// withOwner makes the first machine the owner, which all members follow.
func withOwner(w *World) *World {
	w = w.trigger(Timeout, 0).deliverAll()
	return w.trigger(HeartbeatTick, 0).deliverAll()
}

// deposed makes the second machine the owner with the vote of the first, which lost its newest command in a restart.
// The command is still in flight to the third machine.
func deposed(w *World) *World {
	w = withOwner(w).trigger(Propose, 0)
	w = w.trigger(Restart, 0).keepIf(func(m *wire.GroupMsg) bool { return m.To == w.replicas[2].id })
	return w.elect(1, names[2])
}

// contested makes the first machine the owner again after it and the second machine have each, as owner, written a
// command that no other machine has. Its messages are in flight.
func contested(w *World) *World {
	w = withOwner(w).trigger(Propose, 0).deliverAll(names...).dropAll()
	w = w.elect(1, names[0]).deliverAll(names...).dropAll()
	return w.elect(0, names[1])
}

// restarted makes the second machine the owner of a third term. The first machine owned the two terms before, with a
// restart in between, and does not know of the third. A reply to a late round of the first term is in flight.
func restarted(w *World) *World {
	w = withOwner(w)
	last := len(w.replicas) - 1
	for range 3 {
		w = w.trigger(HeartbeatTick, 0).deliverAll()
	}
	w = w.trigger(HeartbeatTick, 0).keepIf(func(m *wire.GroupMsg) bool { return m.To == w.replicas[last].id })
	for len(w.inFlight) > 0 && group.Name(w.inFlight[0].To) == names[last] {
		w = w.Next(Event{Kind: Deliver, Replica: last, Message: w.inFlight[0]})
	}
	reply := w.inFlight
	w = w.trigger(Restart, 0).dropAll().elect(0, names[last]).deliverAll(names[last]).dropAll()
	w = w.elect(1, names[0]).deliverAll(names[0]).dropAll()
	w = w.clone()
	w.inFlight = slices.Clone(reply)
	return w
}

// rivalOwners makes the second machine the owner without the votes of the first one and the spare. The first one, as
// owner, has made the spare a voter, and no other machine has that roster entry.
func rivalOwners(w *World) *World {
	w = withLearners(w)
	spare := len(w.replicas) - 1
	w = w.Next(Event{Kind: Promote, Replica: 0, Member: w.replicas[spare].id}).deliverAll(names...).dropAll()
	return w.elect(1, names[0], names[spare])
}

// compacted puts two commands in flight to the last machine. The other machines have the first command, and the owner
// has compacted it into its snapshot.
func compacted(w *World) *World {
	last := w.options.Members - 1
	w = withOwner(w).trigger(Propose, 0).trigger(Propose, 0)
	w = w.keepIf(func(m *wire.GroupMsg) bool { return group.Name(m.To) == names[last] || m.Index == 1 })
	w = w.deliverAll(names[last]).trigger(Compact, 0).trigger(Sync, 0)
	return w.keepIf(func(m *wire.GroupMsg) bool { return group.Name(m.To) == names[last] })
}

// reusedName blanks the disk of a voter that restarts under its old id, which a store never does, while another voter
// missed a committed entry. The owner is stopped.
func reusedName(w *World) *World {
	w = withLearners(w)
	spare := len(w.replicas) - 1
	w = w.Next(Event{Kind: Promote, Replica: 0, Member: w.replicas[spare].id}).deliverAll()
	w = w.trigger(HeartbeatTick, 0).deliverAll()
	w = w.trigger(Propose, 0).deliverAll(names[1]).dropAll()
	w = w.clone()
	r := w.ownReplica(spare)
	w.ghost.replacedDisks[r.id] = r.disk
	r.disk = disk{}
	w.start(r)
	w.stoppedMachine = names[0]
	return w
}

// withLearners makes the spare machines learners that have caught up.
func withLearners(w *World) *World {
	w = withOwner(w)
	for i := w.options.Members; i < len(w.replicas); i++ {
		w = w.Next(Event{Kind: AddLearner, Replica: 0, Member: w.replicas[i].id}).deliverAll()
		w = w.trigger(HeartbeatTick, 0).deliverAll()
	}
	return w
}
