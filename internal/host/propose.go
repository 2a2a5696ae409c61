package host

import (
	"time"

	"caperwheel/internal/errs"
)

type waiter struct {
	term int64
	tell func(verdict any, err error)
}

type begun struct {
	index int64
	at    time.Duration
}

// Propose must be called on the host's goroutine. tell gets the verdict once
// the command is committed and applied. NotOwner means that it never will be;
// Undecided that a new owner decides.
func (h *Host) Propose(data []byte, tell func(verdict any, err error)) {
	if !h.isOwner {
		tell(nil, errs.New(errs.NotOwner, "group %d", h.opts.Id))
		return
	}
	index, term, out, isOwner := h.machine.Propose(data, h.opts.Now())
	if !isOwner {
		tell(nil, errs.New(errs.NotOwner, "group %d", h.opts.Id))
		return
	}
	h.waiters[index] = waiter{term, tell}
	h.begun = append(h.begun, begun{index, h.opts.Now()})
	h.do(out)
}

// Waiting reports how many proposals are under way. On the goroutine only.
func (h *Host) Waiting() int { return len(h.waiters) }

// Oldest reports how long the oldest proposal under way has waited for its commit.
func (h *Host) Oldest() time.Duration {
	if len(h.begun) == 0 {
		return 0
	}
	return h.opts.Now() - h.begun[0].at
}
