package quota

import (
	"time"

	"caperwheel/internal/wire"
)

// placeTime falls behind real time with each owner, and never runs ahead.
func (w *world) placeTime() int64 {
	w.stamp = max(w.stamp, (w.now - w.lost).Milliseconds())
	return w.stamp
}

func (w *world) limitNow() Limit {
	if w.lowerAt > 0 && w.now >= w.lowerAt {
		return w.lower
	}
	return w.limit
}

func (w *world) receive(a asked) {
	if w.now < w.downUntil {
		return
	}
	w.gathered = append(w.gathered, a)
	w.propose()
}

func (w *world) propose() {
	if w.underWay != nil || len(w.gathered) == 0 {
		return
	}
	all := w.gathered
	w.gathered = nil
	batch := Batch{Limits: []Limit{w.limitNow()}}
	for _, a := range all {
		batch.Asks = append(batch.Asks, a.ask)
	}
	w.batches++
	w.underWay, w.underAt = &batch, w.placeTime()
	answer := func(grants []wire.QuotaGrant) {
		for i, grant := range grants {
			if grant.Tenant != "" {
				w.travel(func() { all[i].answer(grant) })
			}
		}
	}
	term := w.term
	if w.flaws.answersEarly {
		early, _ := Restore(w.ledger.Image())
		answer(early.Apply(w.underAt, batch))
	}
	w.after(w.between(8*time.Millisecond, 20*time.Millisecond), func() {
		if term != w.term {
			return
		}
		grants := w.ledger.Apply(w.underAt, batch)
		w.underWay = nil
		if !w.flaws.answersEarly {
			answer(grants)
		}
		w.propose()
	})
}

// changeOwner has another store go on with what is committed, to which what is under way may belong or not.
func (w *world) changeOwner() {
	if w.underWay != nil && w.rand.IntN(2) == 0 {
		w.ledger.Apply(w.underAt, *w.underWay)
	}
	w.term++
	w.underWay, w.gathered = nil, nil
	w.lost += w.between(0, 800*time.Millisecond)
	w.downUntil = w.now + w.between(0, 900*time.Millisecond)
	again, err := Restore(w.ledger.Image())
	if err != nil {
		panic(err)
	}
	if w.flaws.forgetsLedger {
		again = NewLedger()
	}
	w.ledger = again
}
