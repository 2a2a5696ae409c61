package explore

import (
	"slices"

	"caperwheel/internal/group"
	"caperwheel/internal/wire"
)

// do carries out what one step of a replica wants, in the order in which the
// host does: what may leave now, the write, the new state.
func (w *World) do(r *replica, out group.Output) {
	w.send(r, out.SendNow)
	switch {
	case out.Persist != nil:
		r.unsynced = append(r.unsynced, write{persist: out.Persist, after: out.SendAfterSync})
	case len(out.SendAfterSync) > 0 && len(r.unsynced) == 0:
		w.send(r, out.SendAfterSync)
	case len(out.SendAfterSync) > 0:
		r.unsynced = append(r.unsynced, write{after: out.SendAfterSync})
	}
	if out.Install != nil {
		r.image = out.Install
		w.install(r, out.Install)
	}
	w.apply(r, out.Apply)
	w.settle(r)
}

// settle does what the host does when ownership begins or ends.
func (w *World) settle(r *replica) {
	v := r.machine.View()
	r.isOwner = v.Role == group.Owner && (v.IsConfirmed || r.isOwner)
	w.noteOwner(r, v)
	w.checkReads(r, v)
}

// send puts messages under way. One that is under way already, to the letter,
// is the same: what may come twice is tried by its own event.
func (w *World) send(r *replica, messages []wire.GroupMsg) {
	for _, m := range messages {
		if m.Kind == group.MsgSnapshot && (r.image == nil || r.image.Index != m.Index) {
			continue
		}
		if !slices.ContainsFunc(w.sent, func(other *wire.GroupMsg) bool { return isSame(&m, other) }) {
			w.sent = append(w.sent, &m)
		}
	}
	if over := len(w.sent) - w.options.UnderWay; w.options.UnderWay > 0 && over > 0 {
		w.sent = slices.Delete(w.sent, 0, over)
	}
}

// isSame compares messages by all that a group reads of them.
func isSame(a, b *wire.GroupMsg) bool {
	return a.Kind == b.Kind && a.From == b.From && a.To == b.To && a.Term == b.Term && a.Index == b.Index &&
		a.LogTerm == b.LogTerm && a.Commit == b.Commit && a.Round == b.Round && a.Reject == b.Reject &&
		slices.Equal(a.Roster, b.Roster) &&
		slices.EqualFunc(a.Entries, b.Entries, func(x, y wire.Entry) bool { return x.Index == y.Index && isEqual(x, y) })
}

// sync makes the oldest write durable and tells the replica.
func (w *World) sync(r *replica) {
	first := r.unsynced[0]
	r.unsynced = r.unsynced[1:]
	r.disk = r.disk.with(first)
	w.send(r, first.after)
	if p := first.persist; p != nil && len(p.Entries) > 0 {
		last := p.Entries[len(p.Entries)-1]
		w.do(r, r.machine.Synced(last.Index, last.Term, r.now))
	}
}

// with gives the disk after one more write.
func (d disk) with(first write) disk {
	if first.slot != nil {
		return *first.slot
	}
	p := first.persist
	if p == nil {
		return d
	}
	if p.Snapshot != nil {
		d.image, d.log = p.Snapshot, nil
	}
	if p.Hard != nil {
		d.hard = *p.Hard
	}
	if len(p.Entries) > 0 {
		kept := p.Entries[0].Index - d.base() - 1
		d.log = append(slices.Clone(d.log[:kept]), p.Entries...)
	}
	return d
}

func (d disk) base() int64 {
	if d.image == nil {
		return 0
	}
	return d.image.Index
}

// restart loses the process and all writes but the first few that are not
// synced, as a loss of power would.
func (w *World) restart(r *replica, kept int) {
	for _, first := range r.unsynced[:kept] {
		r.disk = r.disk.with(first)
	}
	r.unsynced = nil
	w.start(r)
}

// wipe replaces a machine's disk; it comes back blank as another member.
func (w *World) wipe(r *replica) {
	w.ghost.gone[r.id] = r.disk
	w.ghost.disks++
	r.id, r.disk, r.unsynced = idOf(r.name, w.ghost.disks), disk{}, nil
	w.start(r)
}

// compact puts a replica's log into an image.
func (w *World) compact(r *replica) {
	image := r.machine.Compact(r.applied, nil)
	if image == nil {
		return
	}
	r.image = image
	hard, log := r.machine.DurableState()
	r.unsynced = append(r.unsynced, write{slot: &disk{hard, image, log}})
}
