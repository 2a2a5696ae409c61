package host

import (
	"maps"
	"slices"

	"caperwheel/internal/errs"
	"caperwheel/internal/group"
	"caperwheel/internal/wire"
)

func (h *Host) apply(entries []wire.Entry) {
	for _, e := range entries {
		var verdict any
		if e.Kind == group.EntryData {
			h.dataTerm, h.dataIndex = e.Term, e.Index
			h.heldAt = h.replayed.heldAt(e, h.opts.Now())
			verdict = h.opts.Machine.Apply(e.Data, h.isOwner && e.Term == h.ownedTerm)
		}
		h.applied = e.Index
		for len(h.begun) > 0 && h.begun[0].index <= e.Index {
			h.begun = h.begun[1:]
		}
		h.since++
		h.bytes += len(e.Data)
		if w, isKnown := h.waiters[e.Index]; isKnown {
			delete(h.waiters, e.Index)
			if w.term == e.Term {
				w.tell(verdict, nil)
			} else { // another entry took its place: it can never be committed
				w.tell(nil, errs.New(errs.NotOwner, "group %d", h.opts.Id))
			}
		}
	}
}

// settle notices that ownership has begun or ended. It begins only once all
// that earlier owners committed has been applied.
func (h *Host) settle() {
	v := h.machine.View()
	isOwner := v.Role == group.Owner && v.IsSure
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
		unproposed, orphans := h.gathered, h.waiters
		h.gathered, h.gatheredBytes = nil, 0
		for _, p := range unproposed {
			h.refuse(p.tell)
		}
		h.waiters, h.begun = map[int64]waiter{}, nil
		for _, index := range slices.Sorted(maps.Keys(orphans)) {
			orphans[index].tell(nil, errs.New(errs.Undecided, "group %d changes hands", h.opts.Id))
		}
	}
	h.opts.Machine.Owned(isOwner)
}

func (h *Host) publish() {
	v := h.machine.View()
	h.mu.Lock()
	h.view = v
	h.mu.Unlock()
}

// Missing tells that a store's process is known to have ended.
func (h *Host) Missing(name string) {
	_ = h.Do(func() { h.machine.Missing(name, h.opts.Now()) })
}

// HandOver gives ownership to the best other voter that is not avoided.
func (h *Host) HandOver(isAvoided func(member string) bool) {
	_ = h.Do(func() {
		now := h.opts.Now()
		if successor := h.machine.Successor(isAvoided, now); successor != "" {
			h.do(h.machine.HandOver(successor, now))
		}
	})
}

// onSynced brings the disk's word on what was persisted back to the host's
// goroutine, and bringBack its word on anything.
func (h *Host) onSynced(work func()) func(error) {
	return h.bringBack(func() { h.pending--; work() })
}

func (h *Host) bringBack(work func()) func(error) {
	return func(err error) {
		if err != nil {
			h.opts.Failed(err)
			return
		}
		h.mu.Lock()
		h.synced = append(h.synced, work)
		h.mu.Unlock()
		select {
		case h.wake <- struct{}{}:
		default:
		}
	}
}

func (h *Host) send(m wire.GroupMsg) {
	if m.Kind == group.MsgImage {
		if h.image == nil || h.image.Index != m.Index {
			return
		}
		for _, part := range cut(m, h.image.State, h.opts.Whole) {
			h.opts.Send(part)
		}
		return
	}
	h.opts.Send(m)
}

func (h *Host) sendAll(messages []wire.GroupMsg) {
	for _, m := range messages {
		h.send(m)
	}
}
