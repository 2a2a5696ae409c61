package explore

import (
	"slices"

	"caperwheel/internal/group"
	"caperwheel/internal/wire"
)

// applyOutput carries out the output of one step of a replica in the same order as the host of a group: messages that
// may be sent at once, the write, a snapshot, and the entries to apply.
func (w *World) applyOutput(r *replica, out group.Output) {
	w.send(r, out.SendNow)
	switch {
	case out.Persist != nil:
		r.unsynced = append(r.unsynced, write{persist: out.Persist, sendAfter: out.SendAfterSync})
	case len(out.SendAfterSync) > 0 && len(r.unsynced) == 0:
		w.send(r, out.SendAfterSync)
	case len(out.SendAfterSync) > 0:
		r.unsynced = append(r.unsynced, write{sendAfter: out.SendAfterSync})
	}
	if out.Install != nil {
		r.snapshot = out.Install
		w.install(r, out.Install)
	}
	w.apply(r, out.Apply)
	w.updateOwnership(r)
}

// updateOwnership follows the beginning and end of ownership as the host of a group does, and checks the owner.
func (w *World) updateOwnership(r *replica) {
	v := r.stateMachine.View()
	r.isOwner = v.Role == group.Owner && (v.IsConfirmed || r.isOwner)
	w.recordOwner(r, v)
	w.checkReads(r, v)
}

// send puts messages in flight. A message that is equal to one in flight is dropped, as duplicate deliveries have their
// own kind of event. Beyond the limit of the options, the oldest messages are lost.
func (w *World) send(r *replica, messages []wire.GroupMsg) {
	for _, m := range messages {
		if m.Kind == group.MsgSnapshot && (r.snapshot == nil || r.snapshot.Index != m.Index) {
			continue
		}
		if !slices.ContainsFunc(w.inFlight, func(other *wire.GroupMsg) bool { return isSame(&m, other) }) {
			w.inFlight = append(w.inFlight, &m)
		}
	}
	if over := len(w.inFlight) - w.options.MaxInFlight; w.options.MaxInFlight > 0 && over > 0 {
		w.inFlight = slices.Delete(w.inFlight, 0, over)
	}
}

// isSame compares the fields of messages that a group reads.
func isSame(a, b *wire.GroupMsg) bool {
	return a.Kind == b.Kind && a.From == b.From && a.To == b.To && a.Term == b.Term && a.Index == b.Index &&
		a.LogTerm == b.LogTerm && a.Commit == b.Commit && a.Round == b.Round && a.Reject == b.Reject &&
		slices.Equal(a.Roster, b.Roster) &&
		slices.EqualFunc(a.Entries, b.Entries, func(x, y wire.Entry) bool { return x.Index == y.Index && isEqual(x, y) })
}

// sync makes the oldest unsynced write durable, sends the messages that depend on it, and reports it to the replica.
func (w *World) sync(r *replica) {
	oldest := r.unsynced[0]
	r.unsynced = r.unsynced[1:]
	r.disk = r.disk.afterWrite(oldest)
	w.send(r, oldest.sendAfter)
	if p := oldest.persist; p != nil && len(p.Entries) > 0 {
		last := p.Entries[len(p.Entries)-1]
		w.applyOutput(r, r.stateMachine.Synced(last.Index, last.Term, r.now))
	}
}

// afterWrite returns the content of the disk after one more write.
func (d disk) afterWrite(w write) disk {
	if w.fullState != nil {
		return *w.fullState
	}
	p := w.persist
	if p == nil {
		return d
	}
	if p.Snapshot != nil {
		d.snapshot, d.log = p.Snapshot, nil
	}
	if p.Hard != nil {
		d.hardState = *p.Hard
	}
	if len(p.Entries) > 0 {
		kept := p.Entries[0].Index - d.base() - 1
		d.log = append(slices.Clone(d.log[:kept]), p.Entries...)
	}
	return d
}

// base returns the index of the snapshot, 0 if there is none.
func (d disk) base() int64 {
	if d.snapshot == nil {
		return 0
	}
	return d.snapshot.Index
}

// restart restarts the process of a replica as after a power failure: of the unsynced writes, only the first keptWrites
// survive.
func (w *World) restart(r *replica, keptWrites int) {
	for _, unsynced := range r.unsynced[:keptWrites] {
		r.disk = r.disk.afterWrite(unsynced)
	}
	r.unsynced = nil
	w.start(r)
}

// wipe replaces the disk of a machine and restarts it blank, under the id of a new member.
func (w *World) wipe(r *replica) {
	w.ghost.replacedDisks[r.id] = r.disk
	w.ghost.replacedCount++
	r.id, r.disk, r.unsynced = idOf(r.name, w.ghost.replacedCount), disk{}, nil
	w.start(r)
}

// compact replaces the applied entries of a replica's log by a snapshot.
func (w *World) compact(r *replica) {
	snapshot := r.stateMachine.Compact(r.applied, nil)
	if snapshot == nil {
		return
	}
	r.snapshot = snapshot
	hard, log := r.stateMachine.DurableState()
	r.unsynced = append(r.unsynced, write{fullState: &disk{hard, snapshot, log}})
}
