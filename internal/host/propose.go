package host

import (
	"time"

	"caperwheel/internal/errs"
	"caperwheel/internal/timing"
)

// batchBytesLimit is how many bytes of gathered proposals are not held back any longer.
const batchBytesLimit = 64 << 10

// proposal is a command that is to become an entry of the log.
type proposal struct {
	data       []byte
	done       func(verdict any, err error)
	proposedAt time.Duration
}

type waiter struct {
	term int64
	done func(verdict any, err error)
}

type inFlightProposal struct {
	index      int64
	proposedAt time.Duration
}

// Propose must be called on the host's goroutine. tell gets the verdict once
// the command is committed and applied. NotOwner means that it never will be;
// Undecided that a new owner decides.
//
// Proposals are gathered for a moment, at most timing.Gather, and go into the log
// and to the other replicas together: each append costs every replica a message, an
// answer and a write, whatever it carries. The moments are those of one grid, so that
// all groups of a store write and send at the same time.
func (h *Host) Propose(data []byte, done func(verdict any, err error)) {
	if !h.isOwner {
		h.refuse(done)
		return
	}
	h.batch = append(h.batch, proposal{data, done, h.opts.Now()})
	h.batchBytes += len(data)
	switch {
	case h.opts.Schedule == nil || h.batchBytes >= batchBytesLimit:
		h.flush()
	case len(h.batch) == 1:
		period := h.opts.Bounds.Of(timing.BatchDelayLimit)
		h.opts.Schedule(period-h.opts.Now()%period, func() { _ = h.Do(h.flush) }) // should the ring be full, the next tick does it
	}
}

// flush proposes what was gathered.
func (h *Host) flush() {
	if len(h.batch) == 0 {
		return
	}
	gathered := h.batch
	h.batch, h.batchBytes = nil, 0
	commands := make([][]byte, len(gathered))
	for i, p := range gathered {
		commands[i] = p.data
	}
	first, term, out, isOwner := h.machine.ProposeAll(commands, h.opts.Now())
	for i, p := range gathered {
		if !isOwner {
			h.refuse(p.done)
			continue
		}
		index := first + int64(i)
		h.waiters[index] = waiter{term, p.done}
		h.inFlight = append(h.inFlight, inFlightProposal{index, p.proposedAt})
	}
	h.execute(out)
}

// refuse says of a proposal that it will never be committed.
func (h *Host) refuse(done func(verdict any, err error)) {
	done(nil, errs.New(errs.NotOwner, "group %d", h.opts.Id))
}

// PendingProposals reports how many proposals are under way. On the goroutine only.
func (h *Host) PendingProposals() int { return len(h.waiters) + len(h.batch) }

// OldestProposalAge reports how long the oldest proposal under way has waited for its commit.
func (h *Host) OldestProposalAge() time.Duration {
	switch {
	case len(h.inFlight) > 0:
		return h.opts.Now() - h.inFlight[0].proposedAt
	case len(h.batch) > 0:
		return h.opts.Now() - h.batch[0].proposedAt
	}
	return 0
}
