package explore

import (
	"slices"

	"caperwheel/internal/group"
	"caperwheel/internal/wire"
)

// calm delivers and syncs all that waits, oldest first. Messages from or to
// the machines that are cut off stay under way.
func (w *World) calm(cut ...string) *World {
	for {
		next, isFound := w.waiting(cut)
		if !isFound {
			return w
		}
		w = w.Next(next)
	}
}

func (w *World) waiting(cut []string) (next Event, isFound bool) {
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

// keep drops all that is under way but what is kept.
func (w *World) keep(is func(m *wire.GroupMsg) bool) *World {
	w = w.clone()
	w.sent = slices.DeleteFunc(slices.Clone(w.sent), func(m *wire.GroupMsg) bool { return !is(m) })
	return w
}

func (w *World) lose() *World { return w.keep(func(*wire.GroupMsg) bool { return false }) }

// step lets one thing happen to a machine.
func (w *World) step(kind Kind, at int) *World { return w.Next(Event{Kind: kind, At: at}) }

// elect has a machine stand until it owns the group, among those that are not
// cut off; they have not heard of an owner lately, and what they say of that
// themselves is lost. What was under way stays so.
func (w *World) elect(at int, cut ...string) *World {
	before := w.sent
	for i, r := range w.replicas {
		if v := r.machine.View(); i != at && !slices.Contains(cut, r.name) && v.Role != group.Owner {
			w = w.step(Timeout, i)
		}
	}
	if w.replicas[at].machine.View().Role == group.Owner {
		w = w.step(Lapse, at)
	}
	w = w.clone()
	w.sent = slices.Clone(before)
	for range 3 {
		w = w.step(Timeout, at)
		for w.replicas[at].machine.View().Role != group.Owner {
			next, isFound := w.waiting(cut)
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

// split: the first two machines stand in one term, and ask for votes.
func split(w *World) *World {
	for at := range 2 {
		w = w.step(Timeout, at)
		for w.replicas[at].machine.View().Role == group.PreCandidate {
			next, _ := w.waiting([]string{names[1-at]})
			w = w.Next(next)
		}
	}
	return w.keep(func(m *wire.GroupMsg) bool { return m.Kind == group.MsgVote })
}

// owned: the first machine owns the group and all know.
func owned(w *World) *World {
	w = w.step(Timeout, 0).calm()
	return w.step(Pulse, 0).calm()
}

// deposed: the first machine lost its newest command in a restart, though it is
// still under way to the others; the second owns with its vote.
func deposed(w *World) *World {
	w = owned(w).step(Propose, 0)
	w = w.step(Restart, 0).keep(func(m *wire.GroupMsg) bool { return m.To == w.replicas[2].id })
	return w.elect(1, names[2])
}

// contested: two owners have each left a command that they alone hold, and the
// first owns again; what it sends is under way.
func contested(w *World) *World {
	w = owned(w).step(Propose, 0).calm(names...).lose()
	w = w.elect(1, names[0]).calm(names...).lose()
	return w.elect(0, names[1])
}

// restarted: the first machine owned two terms with a restart between, and the
// second owns the third without its knowing. An answer to a late round of the
// first term is under way.
func restarted(w *World) *World {
	w = owned(w)
	last := len(w.replicas) - 1
	for range 3 {
		w = w.step(Pulse, 0).calm()
	}
	w = w.step(Pulse, 0).keep(func(m *wire.GroupMsg) bool { return m.To == w.replicas[last].id })
	for len(w.sent) > 0 && group.Name(w.sent[0].To) == names[last] {
		w = w.Next(Event{Kind: Deliver, At: last, Message: w.sent[0]})
	}
	answer := w.sent
	w = w.step(Restart, 0).lose().elect(0, names[last]).calm(names[last]).lose()
	w = w.elect(1, names[0]).calm(names[0]).lose()
	w = w.clone()
	w.sent = slices.Clone(answer)
	return w
}

// rivals: the owner has made the spare a voter, which no other knows, and the
// second machine has just been elected without them.
func rivals(w *World) *World {
	w = learned(w)
	spare := len(w.replicas) - 1
	w = w.Next(Event{Kind: Promote, At: 0, Member: w.replicas[spare].id}).calm(names...).lose()
	return w.elect(1, names[0], names[spare])
}

// compacted: two commands are under way to the last machine, and the others
// have the first, which the owner has put into its image.
func compacted(w *World) *World {
	last := w.options.Members - 1
	w = owned(w).step(Propose, 0).step(Propose, 0)
	w = w.keep(func(m *wire.GroupMsg) bool { return group.Name(m.To) == names[last] || m.Index == 1 })
	w = w.calm(names[last]).step(Compact, 0).step(Sync, 0)
	return w.keep(func(m *wire.GroupMsg) bool { return group.Name(m.To) == names[last] })
}

// renamed: a machine that votes lost its disk and came back under its old
// name, which a store never does, while another was cut off. The owner is down.
func renamed(w *World) *World {
	w = learned(w)
	spare := len(w.replicas) - 1
	w = w.Next(Event{Kind: Promote, At: 0, Member: w.replicas[spare].id}).calm()
	w = w.step(Pulse, 0).calm()
	w = w.step(Propose, 0).calm(names[1]).lose()
	w = w.clone()
	r := w.own(spare)
	w.ghost.gone[r.id] = r.disk
	r.disk = disk{}
	w.start(r)
	w.down = names[0]
	return w
}

// learned: the spares are learners and have caught up.
func learned(w *World) *World {
	w = owned(w)
	for i := w.options.Members; i < len(w.replicas); i++ {
		w = w.Next(Event{Kind: Learn, At: 0, Member: w.replicas[i].id}).calm()
		w = w.step(Pulse, 0).calm()
	}
	return w
}
