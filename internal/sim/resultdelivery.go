package sim

import (
	"time"

	"caperwheel/internal/check"
	"caperwheel/internal/repair"
	"caperwheel/internal/timing"
	"caperwheel/internal/wire"
)

// retryInterval is the interval at which internal/ownerclient tries another store to find an owner.
var retryInterval = timing.Default.Of(timing.Poll) / 2

// deliverResults sends the due results of a buffer to all stores until the owner of each acknowledges it.
// buffer returns nil while the process that holds it is down or frozen.
func (p *PlaceCluster) deliverResults(from string, buffer func() *repair.ResultBuffer) {
	var tick func()
	tick = func() {
		if k := buffer(); k != nil {
			for _, o := range k.Due(p.now) {
				for _, s := range p.stores {
					p.sendToStore(from, s, func(p placeOwner, answer func(any)) { p.Outcome(o, answer) }, func(reply any) {
						if isAcknowledged, _ := repair.ParseAck(reply); isAcknowledged {
							k.Forget(o.Id, o.Proof.Attempt)
						}
					})
				}
			}
		}
		p.After(retryInterval, tick)
	}
	tick()
}

// resetAgent replaces the agent beside the adapter by one without results.
func (a *simAdapter) resetAgent() {
	a.agent = repair.NewResultBuffer(1000, timing.Default.Of(timing.AnswerTimeout), retryInterval)
}

// loseMachine kills the adapter and its agent at the same moment.
func (a *simAdapter) loseMachine() {
	if a.isUp {
		a.w.History.AddKill(check.KillWindow{Adapter: a.name, From: a.w.now - 10*time.Millisecond, Until: a.w.now})
		a.kill()
		a.resetAgent()
	}
}

// deliverToOwner sends a result to one store after another at intervals, until the owner acknowledges it as
// durable. Copies are kept by the agent and by a store of another zone meanwhile, if the run may have
// started.
func (a *simAdapter) deliverToOwner(m *wire.Run, o *wire.Outcome) {
	generation, next, isDone := a.generation, a.w.Rand.IntN(3), false
	if o.MayHaveStarted {
		a.w.After(200*time.Microsecond, func() { a.agent.Add(o, a.w.now) })
	}
	remoteStore := a.w.randomStore()
	for remoteStore.name[1:] == a.name[1:] { // a store of another zone
		remoteStore = a.w.randomStore()
	}
	sendToBuffer := func(work func(k *repair.ResultBuffer)) {
		a.w.Send(a.name, remoteStore.name, func() {
			if remoteStore.isUp {
				work(remoteStore.resultBuffer)
			}
		})
	}
	if o.MayHaveStarted {
		sendToBuffer(func(k *repair.ResultBuffer) { k.Add(o, a.w.now) })
	}
	var attempt func()
	attempt = func() {
		if isDone || !a.isUp || a.generation != generation {
			return
		}
		if a.w.now >= a.frozenUntil {
			next++
			s := a.w.stores[next%len(a.w.stores)]
			a.w.sendToStore(a.name, s, func(p placeOwner, answer func(any)) { p.Outcome(o, answer) }, func(reply any) {
				if ack, isAck := reply.(*wire.OutcomeAck); isAck && ack.Kind == "" && !isDone && a.generation == generation {
					isDone = true
					a.w.Tracef("result of %s/%d from %s is acknowledged by %s", m.Id, m.Attempt, a.boot(), s.name)
					a.runs.Remove(m)
					a.agent.Forget(m.Id, m.Attempt)
					sendToBuffer(func(k *repair.ResultBuffer) { k.Forget(m.Id, m.Attempt) })
				}
			})
		}
		a.w.After(retryInterval, attempt)
	}
	attempt()
}
