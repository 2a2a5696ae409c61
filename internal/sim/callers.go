package sim

import (
	"fmt"
	"time"

	"caperwheel/internal/check"
	"caperwheel/internal/errs"
	"caperwheel/internal/timing"
	"caperwheel/internal/wire"
)

// SendMessage has a caller send one message through a simulated intake that acts as internal/intake does: it looks
// for the owner, settles a message whose outcome is unknown, and answers the caller.
func (p *PlaceCluster) SendMessage(lane, key string, done func()) {
	s, take := p.newMessage(lane, key)
	window := timing.Default.Of(timing.SettleTimeout) * 2
	timeout := window
	if p.Rand.IntN(4) == 0 { // the caller disconnects early; its message is settled nevertheless
		timeout = time.Duration(p.Rand.IntN(300)) * time.Millisecond
	}
	p.callOwner(timeout, func(o placeOwner, answer func(any)) { o.Take(take, answer) }, func(got *wire.Taken, hasPending bool) {
		switch {
		case got != nil && got.Kind == "":
			p.recordSent(s, check.Taken, done)
		case !hasPending || got != nil && got.Kind == string(errs.Rejected):
			p.recordSent(s, check.NotTaken, done)
		default:
			settle := &wire.Settle{Id: s.Id, Lane: lane}
			p.callOwner(window, func(o placeOwner, answer func(any)) { o.Settle(settle, answer) }, func(got *wire.Taken, _ bool) {
				switch {
				case got != nil && got.Kind == "":
					p.recordSent(s, check.Taken, done)
				case got != nil && got.Kind == string(errs.Rejected):
					p.recordSent(s, check.NotTaken, done)
				default:
					p.recordSent(s, check.Undecided, done)
				}
			})
		}
	})
}

// SendRepeatedly has a caller send one message with an idempotency key the given number of times, whatever it was
// answered, through intakes that share no state. The most definite answer is recorded.
func (p *PlaceCluster) SendRepeatedly(lane string, times int) {
	s, take := p.newMessage(lane, "")
	best := check.Undecided
	var send func(left int)
	send = func(left int) {
		if left == 0 {
			p.recordSent(s, best, func() {})
			return
		}
		p.callOwner(timing.Default.Of(timing.SettleTimeout), func(o placeOwner, answer func(any)) { o.Take(take, answer) }, func(got *wire.Taken, _ bool) {
			switch {
			case got != nil && got.Kind == "":
				best = check.Taken
			case got != nil && got.Kind == string(errs.Rejected):
				best = check.NotTaken
			}
			p.After(time.Duration(p.Rand.IntN(1500))*time.Millisecond, func() { send(left - 1) })
		})
	}
	send(times)
}

// newMessage makes a message with a unique token and a random deadline and delay.
func (p *PlaceCluster) newMessage(lane, key string) (check.Sent, *wire.Take) {
	p.serial++
	token := fmt.Sprintf("%s-%d", lane, p.serial)
	s := check.Sent{Token: token, Lane: lane, Key: key, BodySum: "sum of " + token, SentAt: p.now, Outcome: check.Undecided, Id: "0-" + token}
	patience := int64(120_000)
	if p.Rand.IntN(4) == 0 { // some have a short deadline
		patience = 500 + p.Rand.Int64N(5000)
	}
	delay := int64(0)
	if p.Rand.IntN(4) == 0 { // some have a delay
		delay = p.Rand.Int64N(8000)
	}
	s.Delay, s.Patience = time.Duration(delay)*time.Millisecond, time.Duration(patience)*time.Millisecond
	return s, &wire.Take{Id: s.Id, Lane: lane, Key: key, Body: []byte(token), Checksum: s.BodySum, Deadline: patience, Delay: delay}
}

// recordSent records a caller's message and the answer that the caller got.
func (p *PlaceCluster) recordSent(s check.Sent, t check.Outcome, done func()) {
	s.Outcome, s.AnsweredAt = t, p.now
	p.History.AddSent(s)
	if t == check.Taken {
		p.accepted = append(p.accepted, s)
	}
	done()
}

// queryMessage reads the state of a random accepted message from a random store.
func (p *PlaceCluster) queryMessage() {
	if len(p.accepted) == 0 {
		return
	}
	first := 0
	if p.Rand.IntN(4) > 0 { // mostly messages still in progress
		first = max(0, len(p.accepted)-20)
	}
	id, at := p.accepted[first+p.Rand.IntN(len(p.accepted)-first)].Id, p.now
	p.sendToStore("caller", p.randomStore(), func(o placeOwner, answer func(any)) { o.Look(&wire.Look{Id: id, Body: true}, answer) }, func(reply any) {
		if got, isSight := reply.(*wire.Sight); isSight && got.Kind != string(errs.NotOwner) {
			sight := check.StatusRead{Id: id, RequestedAt: at, AnsweredAt: p.now, State: got.State, Attempts: got.Attempts, BodySum: got.Checksum}
			if got.Kind != "" {
				sight.State = "unknown"
			}
			p.History.AddRead(sight)
		}
	})
}

// callOwner sends a request to one store after another until the owner answers or window has passed. hasPending
// reports that another copy of the request was sent whose effect is unknown.
func (p *PlaceCluster) callOwner(window time.Duration, send func(placeOwner, func(any)), done func(got *wire.Taken, hasPending bool)) {
	until, next, isDone, pending := p.now+window, p.Rand.IntN(3), false, 0
	var try func()
	try = func() {
		if isDone {
			return
		}
		if p.now >= until {
			isDone = true
			done(nil, pending > 0)
			return
		}
		next++
		pending++
		p.sendToStore("caller", p.stores[next%len(p.stores)], send, func(reply any) {
			got, isTaken := reply.(*wire.Taken)
			if !isTaken || isDone {
				return
			}
			if got.Kind != string(errs.Undecided) {
				pending--
			}
			if got.Kind != string(errs.Undecided) && got.Kind != string(errs.NotOwner) {
				isDone = true
				done(got, pending > 0)
			}
		})
		p.After(80*time.Millisecond, try)
	}
	try()
}

// healAll ends all faults and starts every process that is down.
func (p *PlaceCluster) healAll() {
	p.EndFaults()
	p.FailedRuns, p.LostReplies, p.StalledRuns, p.BrokenConnections = 0, 0, 0, 0
	for _, s := range p.stores {
		s.frozenUntil = 0
		s.start()
	}
	for _, a := range p.adapters {
		a.frozenUntil = 0
		a.start()
	}
}

// Finish heals all faults, waits until every message can have ended, reads the final states from the owner and
// checks the history.
func (p *PlaceCluster) Finish() []check.Breach {
	p.healAll()
	p.Run(p.now + 130*time.Second)
	for _, s := range p.History.Sent {
		if s.Outcome == check.Undecided { // settle it, as a caller would
			p.callOwner(timing.Default.ConfigApply, func(o placeOwner, answer func(any)) { o.Settle(&wire.Settle{Id: s.Id, Lane: s.Lane}, answer) },
				func(*wire.Taken, bool) {})
			p.Run(p.now + time.Second)
		}
		for range 20 {
			for _, st := range p.stores {
				p.sendToStore("caller", st, func(o placeOwner, answer func(any)) { o.Look(&wire.Look{Id: s.Id, Body: true}, answer) }, func(reply any) {
					if got, isSight := reply.(*wire.Sight); isSight && got.Kind != string(errs.NotOwner) {
						end := check.FinalState{State: got.State, Attempt: got.Proof.Attempt, Worker: got.Proof.Worker, AnswerSum: got.Proof.Checksum, BodySum: got.Checksum}
						if got.Kind != "" {
							end.State = "unknown"
						}
						p.History.AddFinal(s.Id, end)
					}
				})
			}
			p.Run(p.now + 20*time.Millisecond)
			if p.History.Finals[s.Id].State != "" {
				break
			}
		}
	}
	for _, r := range p.runs {
		p.History.AddRun(*r)
	}
	breaches := append(p.breaches, check.Check(p.History)...)
	for _, s := range p.History.Sent {
		if state := p.History.Finals[s.Id].State; s.Outcome == check.Taken && (state == "held" || state == "started") {
			breaches = append(breaches, check.Breach{Rule: "never over", Text: s.Id + " is " + state + " long after its deadline"})
		}
	}
	return breaches
}
