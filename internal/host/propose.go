package host

import (
	"time"

	"caperwheel/internal/errs"
	"caperwheel/internal/timing"
)

// batchBytesLimit is the size in bytes of a proposal batch at which it is no longer held back.
const batchBytesLimit = 64 << 10

// proposal is a command that is to become a log entry.
type proposal struct {
	data       []byte
	done       func(verdict any, err error)
	proposedAt time.Duration
}

// waiter is the callback of a proposal that is in the log; term is that of its entry.
type waiter struct {
	term int64
	done func(verdict any, err error)
}

// inFlightProposal is the log index of a proposal and the time at which it was made.
type inFlightProposal struct {
	index      int64
	proposedAt time.Duration
}

// Propose proposes a command. It must be called on the host's goroutine. done receives the result once the
// command is committed and applied. A NotOwner error means that it never will be; Undecided that a new
// owner decides.
//
// Proposals are batched for at most timing.BatchDelayLimit, and are appended to the log and sent to the
// other replicas together: each append costs every replica a message, a reply and a write, however many
// entries it carries. Batches are sent at multiples of that interval, so that all groups of a store write
// and send at the same time.
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
		h.opts.Schedule(period-h.opts.Now()%period, func() { _ = h.Do(h.flush) }) // if the queue is full, the next tick flushes
	}
}

// flush proposes the batch.
func (h *Host) flush() {
	if len(h.batch) == 0 {
		return
	}
	batch := h.batch
	h.batch, h.batchBytes = nil, 0
	commands := make([][]byte, len(batch))
	for i, p := range batch {
		commands[i] = p.data
	}
	first, term, out, isOwner := h.machine.ProposeAll(commands, h.opts.Now())
	for i, p := range batch {
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

// refuse fails a proposal that will never be committed.
func (h *Host) refuse(done func(verdict any, err error)) {
	done(nil, errs.New(errs.NotOwner, "this store does not own group %d", h.opts.Id))
}

// PendingProposals returns the number of proposals that are not committed yet. It must be called on the
// host's goroutine.
func (h *Host) PendingProposals() int { return len(h.waiters) + len(h.batch) }

// OldestProposalAge returns how long the oldest pending proposal has waited for its commit.
func (h *Host) OldestProposalAge() time.Duration {
	switch {
	case len(h.inFlight) > 0:
		return h.opts.Now() - h.inFlight[0].proposedAt
	case len(h.batch) > 0:
		return h.opts.Now() - h.batch[0].proposedAt
	}
	return 0
}
