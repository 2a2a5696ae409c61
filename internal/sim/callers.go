package sim

import (
	"fmt"
	"time"

	"caperwheel/internal/check"
	"caperwheel/internal/errs"
	"caperwheel/internal/timing"
	"caperwheel/internal/wire"
)

// Call is one message of a caller, through an intake that does as
// internal/intake does: find the owner, settle what is undecided, tell.
func (p *Places) Call(lane, key string, told func()) {
	s, take := p.message(lane, key)
	window := timing.Default.Of(timing.SettleTimeout) * 2
	patience := window
	if p.Rand.IntN(4) == 0 { // the caller hangs up soon; its message is settled all the same
		patience = time.Duration(p.Rand.IntN(300)) * time.Millisecond
	}
	p.reach(patience, func(o placeOwner, answer func(any)) { o.Take(take, answer) }, func(got *wire.Taken, isOpen bool) {
		switch {
		case got != nil && got.Kind == "":
			p.finish(s, check.Taken, told)
		case !isOpen || got != nil && got.Kind == string(errs.Rejected):
			p.finish(s, check.NotTaken, told)
		default:
			settle := &wire.Settle{Id: s.Id, Lane: lane}
			p.reach(window, func(o placeOwner, answer func(any)) { o.Settle(settle, answer) }, func(got *wire.Taken, _ bool) {
				switch {
				case got != nil && got.Kind == "":
					p.finish(s, check.Taken, told)
				case got != nil && got.Kind == string(errs.Rejected):
					p.finish(s, check.NotTaken, told)
				default:
					p.finish(s, check.Undecided, told)
				}
			})
		}
	})
}

// CallAgain is a message with an idempotency key: its caller sends it so many
// times, whatever was told, through intakes that know nothing of each other.
// The most definite answer counts.
func (p *Places) CallAgain(lane string, times int) {
	s, take := p.message(lane, "")
	best := check.Undecided
	var send func(left int)
	send = func(left int) {
		if left == 0 {
			p.finish(s, best, func() {})
			return
		}
		p.reach(timing.Default.Of(timing.SettleTimeout), func(o placeOwner, answer func(any)) { o.Take(take, answer) }, func(got *wire.Taken, _ bool) {
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

func (p *Places) message(lane, key string) (check.Sent, *wire.Take) {
	p.serial++
	token := fmt.Sprintf("%s-%d", lane, p.serial)
	s := check.Sent{Token: token, Lane: lane, Key: key, Sum: "sum of " + token, At: p.now, Told: check.Undecided, Id: "0-" + token}
	patience := int64(120_000)
	if p.Rand.IntN(4) == 0 { // some give up soon
		patience = 500 + p.Rand.Int64N(5000)
	}
	delay := int64(0)
	if p.Rand.IntN(4) == 0 { // some must not run at once
		delay = p.Rand.Int64N(8000)
	}
	s.Delay, s.Patience = time.Duration(delay)*time.Millisecond, time.Duration(patience)*time.Millisecond
	return s, &wire.Take{Id: s.Id, Lane: lane, Key: key, Body: []byte(token), Checksum: s.Sum, Deadline: patience, Delay: delay}
}

func (p *Places) finish(s check.Sent, t check.Told, told func()) {
	s.Told, s.ToldAt = t, p.now
	p.H.AddSent(s)
	if t == check.Taken {
		p.taken = append(p.taken, s)
	}
	told()
}

// look asks some store for some message that was told taken.
func (p *Places) look() {
	if len(p.taken) == 0 {
		return
	}
	first := 0
	if p.Rand.IntN(4) > 0 { // mostly those under way
		first = max(0, len(p.taken)-20)
	}
	id, at := p.taken[first+p.Rand.IntN(len(p.taken)-first)].Id, p.now
	p.askStore("caller", p.store(), func(o placeOwner, answer func(any)) { o.Look(&wire.Look{Id: id, Body: true}, answer) }, func(reply any) {
		if got, isSight := reply.(*wire.Sight); isSight && got.Kind != string(errs.NotOwner) {
			sight := check.Sight{Id: id, At: at, ToldAt: p.now, State: got.State, Attempts: got.Attempts, BodySum: got.Checksum}
			if got.Kind != "" {
				sight.State = "unknown"
			}
			p.H.AddSight(sight)
		}
	})
}

// reach asks one store after another until the owner answers. isOpen tells
// that an ask is out besides whose effect is not known.
func (p *Places) reach(window time.Duration, ask func(placeOwner, func(any)), then func(got *wire.Taken, isOpen bool)) {
	until, turn, isDone, open := p.now+window, p.Rand.IntN(3), false, 0
	var try func()
	try = func() {
		if isDone {
			return
		}
		if p.now >= until {
			isDone = true
			then(nil, open > 0)
			return
		}
		turn++
		open++
		p.askStore("caller", p.stores[turn%len(p.stores)], ask, func(reply any) {
			got, isTaken := reply.(*wire.Taken)
			if !isTaken || isDone {
				return
			}
			if got.Kind != string(errs.Undecided) {
				open--
			}
			if got.Kind != string(errs.Undecided) && got.Kind != string(errs.NotOwner) {
				isDone = true
				then(got, open > 0)
			}
		})
		p.After(80*time.Millisecond, try)
	}
	try()
}

// healAll takes all faults back and starts what is down.
func (p *Places) healAll() {
	p.Calm()
	p.Unhealthy, p.LoseAns, p.Stall, p.Break = 0, 0, 0, 0
	for _, s := range p.stores {
		s.frozen = 0
		s.start()
	}
	for _, a := range p.adapters {
		a.frozen = 0
		a.start()
	}
}

// Finish heals everything, lets all messages come to their end, reads them
// from the owner, and checks the history.
func (p *Places) Finish() []check.Breach {
	p.healAll()
	p.Run(p.now + 130*time.Second)
	for _, s := range p.H.Sent {
		if s.Told == check.Undecided { // ask for a definite fate, as a caller would
			p.reach(timing.Default.ConfigApply, func(o placeOwner, answer func(any)) { o.Settle(&wire.Settle{Id: s.Id, Lane: s.Lane}, answer) },
				func(*wire.Taken, bool) {})
			p.Run(p.now + time.Second)
		}
		for range 20 {
			for _, st := range p.stores {
				p.askStore("caller", st, func(o placeOwner, answer func(any)) { o.Look(&wire.Look{Id: s.Id, Body: true}, answer) }, func(reply any) {
					if got, isSight := reply.(*wire.Sight); isSight && got.Kind != string(errs.NotOwner) {
						end := check.End{State: got.State, Attempt: got.Proof.Attempt, Worker: got.Proof.Worker, Sum: got.Proof.Checksum, BodySum: got.Checksum}
						if got.Kind != "" {
							end.State = "unknown"
						}
						p.H.AddEnd(s.Id, end)
					}
				})
			}
			p.Run(p.now + 20*time.Millisecond)
			if p.H.Ends[s.Id].State != "" {
				break
			}
		}
	}
	for _, r := range p.runs {
		p.H.AddRun(*r)
	}
	breaches := append(p.broken, check.Check(p.H)...)
	for _, s := range p.H.Sent {
		if state := p.H.Ends[s.Id].State; s.Told == check.Taken && (state == "held" || state == "started") {
			breaches = append(breaches, check.Breach{Rule: "never over", Text: s.Id + " is " + state + " long after its cutoff"})
		}
	}
	return breaches
}
