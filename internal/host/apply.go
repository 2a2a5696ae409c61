package host

import (
	"maps"
	"slices"

	"caperwheel/internal/errs"
	"caperwheel/internal/group"
	"caperwheel/internal/wire"
)

// apply applies committed entries to the machine and calls the waiters of their proposals.
func (h *Host) apply(entries []wire.Entry) {
	for _, e := range entries {
		var result any
		if e.Kind == group.EntryData {
			h.dataTerm, h.dataIndex = e.Term, e.Index
			h.loggedAt = h.recovered.loggedAt(e, h.opts.Now())
			result = h.opts.Machine.Apply(e.Data, h.isOwner && e.Term == h.ownedTerm)
		}
		h.appliedIndex = e.Index
		for len(h.inFlight) > 0 && h.inFlight[0].index <= e.Index {
			h.inFlight = h.inFlight[1:]
		}
		h.entriesSinceSlot++
		h.bytesSinceSlot += len(e.Data)
		if waiting, isKnown := h.waiters[e.Index]; isKnown {
			delete(h.waiters, e.Index)
			if waiting.term == e.Term {
				waiting.done(result, nil)
			} else { // another entry took its index: it can never be committed
				waiting.done(nil, errs.New(errs.NotOwner, "group %d", h.opts.Id))
			}
		}
	}
}

// updateOwnership detects that ownership has begun or ended. It begins only once everything that earlier
// owners committed has been applied.
func (h *Host) updateOwnership() {
	v := h.machine.View()
	isOwner := v.Role == group.Owner && v.IsConfirmed
	if h.isOwner && v.Role == group.Owner {
		isOwner = true
	}
	if isOwner {
		h.ownedTerm = v.Term
	}
	if isOwner == h.isOwner {
		return
	}
	h.isOwner = isOwner
	if !isOwner {
		unproposed, undecided := h.batch, h.waiters
		h.batch, h.batchBytes = nil, 0
		for _, p := range unproposed {
			h.refuse(p.done)
		}
		h.waiters, h.inFlight = map[int64]waiter{}, nil
		for _, index := range slices.Sorted(maps.Keys(undecided)) {
			undecided[index].done(nil, errs.New(errs.Undecided, "ownership of group %d ended before the proposal was committed", h.opts.Id))
		}
	}
	h.opts.Machine.OwnershipChanged(isOwner)
}

// publish makes the current state available to View.
func (h *Host) publish() {
	v := h.machine.View()
	h.mu.Lock()
	h.view = v
	h.mu.Unlock()
}

// ReportStoreDown reports that the process of the named store is known to have ended.
func (h *Host) ReportStoreDown(name string) {
	_ = h.Do(func() { h.machine.ReportStoreDown(name, h.opts.Now()) })
}

// TransferOwnership transfers ownership to the best other voter for which isAvoided is false.
func (h *Host) TransferOwnership(isAvoided func(member string) bool) {
	_ = h.Do(func() {
		now := h.opts.Now()
		if successor := h.machine.Successor(isAvoided, now); successor != "" {
			h.execute(h.machine.TransferOwnership(successor, now))
		}
	})
}

// onPersisted returns a disk callback that runs work on the host's goroutine once a write is durable.
func (h *Host) onPersisted(work func()) func(error) {
	return h.onCompleted(func() { h.pendingWrites--; work() })
}

// onCompleted returns a disk callback that runs work on the host's goroutine; an error goes to OnFailure
// instead.
func (h *Host) onCompleted(work func()) func(error) {
	return func(err error) {
		if err != nil {
			h.opts.OnFailure(err)
			return
		}
		h.mu.Lock()
		h.completions = append(h.completions, work)
		h.mu.Unlock()
		select {
		case h.wake <- struct{}{}:
		default:
		}
	}
}

// send sends a message. A snapshot is split if it is too large for one message, and dropped if it has been
// replaced.
func (h *Host) send(m wire.GroupMsg) {
	if m.Kind == group.MsgSnapshot {
		if h.snapshot == nil || h.snapshot.Index != m.Index {
			return
		}
		for _, part := range splitSnapshot(m, h.snapshot.State, h.opts.MaxMessageBytes) {
			h.opts.Send(part)
		}
		return
	}
	h.opts.Send(m)
}

// sendAll sends messages in order.
func (h *Host) sendAll(messages []wire.GroupMsg) {
	for _, m := range messages {
		h.send(m)
	}
}
