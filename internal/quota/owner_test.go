package quota

import (
	"time"

	"caperwheel/internal/wire"
)

// placeTime returns the place's time. It falls behind real time with each owner, and never runs ahead.
func (w *simulation) placeTime() int64 {
	w.lastPlaceTime = max(w.lastPlaceTime, (w.now - w.timeLost).Milliseconds())
	return w.lastPlaceTime
}

func (w *simulation) limitNow() Limit {
	if w.lowerAt > 0 && w.now >= w.lowerAt {
		return w.lower
	}
	return w.limit
}

func (w *simulation) receive(a queuedRequest) {
	if w.now < w.downUntil {
		return
	}
	w.queued = append(w.queued, a)
	w.propose()
}

func (w *simulation) propose() {
	if w.pendingBatch != nil || len(w.queued) == 0 {
		return
	}
	all := w.queued
	w.queued = nil
	batch := Batch{Limits: []Limit{w.limitNow()}}
	for _, a := range all {
		batch.Asks = append(batch.Asks, a.ask)
	}
	w.batches++
	w.pendingBatch, w.pendingAt = &batch, w.placeTime()
	answer := func(grants []wire.QuotaGrant) {
		for i, grant := range grants {
			if grant.Tenant != "" {
				w.transmit(func() { all[i].answer(grant) })
			}
		}
	}
	term := w.term
	if w.defects.answersEarly {
		early, _ := Restore(w.allocator.Snapshot())
		answer(early.Apply(w.pendingAt, batch))
	}
	w.after(w.between(8*time.Millisecond, 20*time.Millisecond), func() {
		if term != w.term {
			return
		}
		grants := w.allocator.Apply(w.pendingAt, batch)
		w.pendingBatch = nil
		if !w.defects.answersEarly {
			answer(grants)
		}
		w.propose()
	})
}

// changeOwner replaces the owner. The new owner goes on with the committed state, which may include the pending batch.
func (w *simulation) changeOwner() {
	if w.pendingBatch != nil && w.rand.IntN(2) == 0 {
		w.allocator.Apply(w.pendingAt, *w.pendingBatch)
	}
	w.term++
	w.pendingBatch, w.queued = nil, nil
	w.timeLost += w.between(0, 800*time.Millisecond)
	w.downUntil = w.now + w.between(0, 900*time.Millisecond)
	again, err := Restore(w.allocator.Snapshot())
	if err != nil {
		panic(err)
	}
	if w.defects.forgetsBuckets {
		again = NewAllocator()
	}
	w.allocator = again
}
