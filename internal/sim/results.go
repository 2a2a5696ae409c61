package sim

import (
	"time"

	"caperwheel/internal/check"
	"caperwheel/internal/repair"
	"caperwheel/internal/timing"
	"caperwheel/internal/wire"
)

// retryPause is how often internal/reach tries another store for an owner.
var retryPause = timing.Default.Of(timing.Poll) / 2

// handOver delivers kept results to their owners, from whoever keeps them as long as it is
// there.
func (p *Places) handOver(from string, keeper func() *repair.ResultBuffer) {
	var tick func()
	tick = func() {
		if k := keeper(); k != nil {
			for _, o := range k.Due(p.now) {
				for _, s := range p.stores {
					p.askStore(from, s, func(p placeOwner, answer func(any)) { p.Outcome(o, answer) }, func(reply any) {
						if isAcknowledged, _ := repair.ParseAck(reply); isAcknowledged {
							k.Forget(o.Id, o.Proof.Attempt)
						}
					})
				}
			}
		}
		p.After(retryPause, tick)
	}
	tick()
}

// newAgent has a blank agent beside the adapter.
func (a *simAdapter) newAgent() {
	a.agent = repair.NewResultBuffer(1000, timing.Default.Of(timing.AnswerTimeout), retryPause)
}

// loseMachine takes the adapter and its agent at once.
func (a *simAdapter) loseMachine() {
	if a.isUp {
		a.w.H.AddLost(check.Window{Adapter: a.name, From: a.w.now - 10*time.Millisecond, Until: a.w.now})
		a.kill()
		a.newAgent()
	}
}

// deliverToOwner sends the result at intervals, to one store after another, until an owner
// has made it durable.
func (a *simAdapter) deliverToOwner(m *wire.Run, o *wire.Outcome) {
	life, turn, isDone := a.life, a.w.Rand.IntN(3), false
	if o.MayHaveStarted {
		a.w.After(200*time.Microsecond, func() { a.agent.Add(o, a.w.now) })
	}
	afar := a.w.store()
	for afar.name[1:] == a.name[1:] { // of another zone
		afar = a.w.store()
	}
	tell := func(work func(k *repair.ResultBuffer)) {
		a.w.Send(a.name, afar.name, func() {
			if afar.isUp {
				work(afar.keeper)
			}
		})
	}
	if o.MayHaveStarted {
		tell(func(k *repair.ResultBuffer) { k.Add(o, a.w.now) })
	}
	var try func()
	try = func() {
		if isDone || !a.isUp || a.life != life {
			return
		}
		if a.w.now >= a.frozen {
			turn++
			s := a.w.stores[turn%len(a.w.stores)]
			a.w.askStore(a.name, s, func(p placeOwner, answer func(any)) { p.Outcome(o, answer) }, func(reply any) {
				if ack, isAck := reply.(*wire.OutcomeAck); isAck && ack.Kind == "" && !isDone && a.life == life {
					isDone = true
					a.w.Note("home %s/%d from %s at %s", m.Id, m.Attempt, a.boot(), s.name)
					a.book.Remove(m)
					a.agent.Forget(m.Id, m.Attempt)
					tell(func(k *repair.ResultBuffer) { k.Forget(m.Id, m.Attempt) })
				}
			})
		}
		a.w.After(retryPause, try)
	}
	try()
}
