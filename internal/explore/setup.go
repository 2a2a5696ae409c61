package explore

import (
	"slices"

	"caperwheel/internal/group"
	"caperwheel/internal/wire"
)

// deliverAll delivers and syncs all that waits, oldest first. Messages from or to
// the machines that are cut off stay under way.
func (w *World) deliverAll(cut ...string) *World {
	for {
		next, isFound := w.nextPending(cut)
		if !isFound {
			return w
		}
		w = w.Next(next)
	}
}

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

// keepIf drops all that is under way but what is kept.
func (w *World) keepIf(isKept func(m *wire.GroupMsg) bool) *World {
	w = w.clone()
	w.inFlight = slices.DeleteFunc(slices.Clone(w.inFlight), func(m *wire.GroupMsg) bool { return !isKept(m) })
	return w
}

func (w *World) dropAll() *World { return w.keepIf(func(*wire.GroupMsg) bool { return false }) }

// trigger lets one thing happen to a machine.
func (w *World) trigger(kind Kind, at int) *World { return w.Next(Event{Kind: kind, Replica: at}) }

// elect has a machine stand until it owns the group, among those that are not
// cut off; they have not heard of an owner lately, and what they say of that
// themselves is lost. What was under way stays so.
func (w *World) elect(at int, cut ...string) *World {
	before := w.inFlight
	for i, r := range w.replicas {
		if v := r.machine.View(); i != at && !slices.Contains(cut, r.name) && v.Role != group.Owner {
			w = w.trigger(Timeout, i)
		}
	}
	if w.replicas[at].machine.View().Role == group.Owner {
		w = w.trigger(ClockJump, at)
	}
	w = w.clone()
	w.inFlight = slices.Clone(before)
	for range 3 {
		w = w.trigger(Timeout, at)
		for w.replicas[at].machine.View().Role != group.Owner {
			next, isFound := w.nextPending(cut)
			if !isFound {
				break
			}
			w = w.Next(next)
		}
		if w.replicas[at].machine.View().Role == group.Owner {
			break
		}
	}
	return w
}

// splitVote: the first two machines stand in one term, and ask for votes.
func splitVote(w *World) *World {
	for at := range 2 {
		w = w.trigger(Timeout, at)
		for w.replicas[at].machine.View().Role == group.PreCandidate {
			next, _ := w.nextPending([]string{names[1-at]})
			w = w.Next(next)
		}
	}
	return w.keepIf(func(m *wire.GroupMsg) bool { return m.Kind == group.MsgVote })
}

// withOwner: the first machine owns the group and all know.
func withOwner(w *World) *World {
	w = w.trigger(Timeout, 0).deliverAll()
	return w.trigger(HeartbeatTick, 0).deliverAll()
}

// deposed: the first machine lost its newest command in a restart, though it is
// still under way to the others; the second owns with its vote.
func deposed(w *World) *World {
	w = withOwner(w).trigger(Propose, 0)
	w = w.trigger(Restart, 0).keepIf(func(m *wire.GroupMsg) bool { return m.To == w.replicas[2].id })
	return w.elect(1, names[2])
}

// contested: two owners have each left a command that they alone hold, and the
// first owns again; what it sends is under way.
func contested(w *World) *World {
	w = withOwner(w).trigger(Propose, 0).deliverAll(names...).dropAll()
	w = w.elect(1, names[0]).deliverAll(names...).dropAll()
	return w.elect(0, names[1])
}

// restarted: the first machine owned two terms with a restart between, and the
// second owns the third without its knowing. An answer to a late round of the
// first term is under way.
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
	answer := w.inFlight
	w = w.trigger(Restart, 0).dropAll().elect(0, names[last]).deliverAll(names[last]).dropAll()
	w = w.elect(1, names[0]).deliverAll(names[0]).dropAll()
	w = w.clone()
	w.inFlight = slices.Clone(answer)
	return w
}

// rivalOwners: the owner has made the spare a voter, which no other knows, and the
// second machine has just been elected without them.
func rivalOwners(w *World) *World {
	w = withLearners(w)
	spare := len(w.replicas) - 1
	w = w.Next(Event{Kind: Promote, Replica: 0, Member: w.replicas[spare].id}).deliverAll(names...).dropAll()
	return w.elect(1, names[0], names[spare])
}

// compacted: two commands are under way to the last machine, and the others
// have the first, which the owner has put into its image.
func compacted(w *World) *World {
	last := w.options.Members - 1
	w = withOwner(w).trigger(Propose, 0).trigger(Propose, 0)
	w = w.keepIf(func(m *wire.GroupMsg) bool { return group.Name(m.To) == names[last] || m.Index == 1 })
	w = w.deliverAll(names[last]).trigger(Compact, 0).trigger(Sync, 0)
	return w.keepIf(func(m *wire.GroupMsg) bool { return group.Name(m.To) == names[last] })
}

// reusedName: a machine that votes lost its disk and came back under its old
// name, which a store never does, while another was cut off. The owner is down.
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

// withLearners: the spares are learners and have caught up.
func withLearners(w *World) *World {
	w = withOwner(w)
	for i := w.options.Members; i < len(w.replicas); i++ {
		w = w.Next(Event{Kind: AddLearner, Replica: 0, Member: w.replicas[i].id}).deliverAll()
		w = w.trigger(HeartbeatTick, 0).deliverAll()
	}
	return w
}
