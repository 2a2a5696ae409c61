package quota

import (
	"time"

	"caperwheel/internal/wire"
)

// placeTime falls behind real time with each owner, and never runs ahead.
func (w *simulation) placeTime() int64 {
	w.lastPlaceTime = max(w.lastPlaceTime, (w.now - w.lost).Milliseconds())
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
	w.gathered = append(w.gathered, a)
	w.propose()
}

func (w *simulation) propose() {
	if w.pendingBatch != nil || len(w.gathered) == 0 {
		return
	}
	all := w.gathered
	w.gathered = nil
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
		early, _ := Restore(w.ledger.Snapshot())
		answer(early.Apply(w.pendingAt, batch))
	}
	w.after(w.between(8*time.Millisecond, 20*time.Millisecond), func() {
		if term != w.term {
			return
		}
		grants := w.ledger.Apply(w.pendingAt, batch)
		w.pendingBatch = nil
		if !w.defects.answersEarly {
			answer(grants)
		}
		w.propose()
	})
}

// changeOwner has another store go on with what is committed, to which what is under way may belong or not.
func (w *simulation) changeOwner() {
	if w.pendingBatch != nil && w.rand.IntN(2) == 0 {
		w.ledger.Apply(w.pendingAt, *w.pendingBatch)
	}
	w.term++
	w.pendingBatch, w.gathered = nil, nil
	w.lost += w.between(0, 800*time.Millisecond)
	w.downUntil = w.now + w.between(0, 900*time.Millisecond)
	again, err := Restore(w.ledger.Snapshot())
	if err != nil {
		panic(err)
	}
	if w.defects.forgetsLedger {
		again = NewAllocator()
	}
	w.ledger = again
}
