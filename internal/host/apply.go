package host

import (
	"caperwheel/internal/group"
	"caperwheel/internal/mishap"
	"caperwheel/internal/wire"
)

func (h *Host) apply(entries []wire.Entry) {
	for _, e := range entries {
		var verdict any
		if e.Kind == group.EntryData {
			verdict = h.opts.Machine.Apply(e.Data)
		}
		h.applied = e.Index
		h.since++
		if w, isKnown := h.waiters[e.Index]; isKnown {
			delete(h.waiters, e.Index)
			if w.term == e.Term {
				w.tell(verdict, nil)
			} else { // another entry took its place: it can never be committed
				w.tell(nil, mishap.New(mishap.NotOwner, "group %d", h.opts.Id))
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
	if isOwner == h.isOwner {
		return
	}
	h.isOwner = isOwner
	if !isOwner {
		orphans := h.waiters
		h.waiters = map[int64]waiter{}
		for _, w := range orphans {
			w.tell(nil, mishap.New(mishap.Undecided, "group %d changes hands", h.opts.Id))
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
