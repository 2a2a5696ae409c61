package sim

import (
	"fmt"
	"time"

	"caperwheel/internal/beat"
	"caperwheel/internal/check"
	"caperwheel/internal/mishap"
	"caperwheel/internal/wire"
)

// Call is one message of a caller, through an intake that does as
// internal/intake does: find the owner, settle what is undecided, tell.
func (p *Places) Call(lane, key string, told func()) {
	p.serial++
	token := fmt.Sprintf("%s-%d", lane, p.serial)
	s := check.Sent{Token: token, Lane: lane, Key: key, Sum: "sum of " + token, At: p.now, Told: check.Undecided, Id: "0-" + token}
	take := &wire.Take{Id: s.Id, Lane: lane, Key: key, Body: []byte(token), Sum: s.Sum, Cutoff: 120_000}
	finish := func(t check.Told) {
		s.Told, s.ToldAt = t, p.now
		p.H.AddSent(s)
		told()
	}
	window := beat.Default.Of(beat.Settle) * 2
	p.reach(window, func(o placeOwner, answer func(any)) { o.Take(take, answer) }, func(got *wire.Taken, mayHold bool) {
		switch {
		case got != nil && got.Kind == "":
			finish(check.Taken)
		case got != nil || !mayHold:
			finish(check.NotTaken)
		default:
			settle := &wire.Settle{Id: s.Id, Lane: lane}
			p.reach(window, func(o placeOwner, answer func(any)) { o.Settle(settle, answer) }, func(got *wire.Taken, _ bool) {
				switch {
				case got == nil:
					finish(check.Undecided)
				case got.Kind == string(mishap.Rejected):
					finish(check.NotTaken)
				default:
					finish(check.Taken)
				}
			})
		}
	})
}

// reach asks one store after another until the owner answers. mayHold tells
// that an ask is out whose effect is not known.
func (p *Places) reach(window time.Duration, ask func(placeOwner, func(any)), then func(got *wire.Taken, mayHold bool)) {
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
			if got.Kind == string(mishap.NotOwner) {
				open--
				return
			}
			if got.Kind != string(mishap.Undecided) {
				isDone = true
				then(got, false)
			}
		})
		p.After(80*time.Millisecond, try)
	}
	try()
}

// Finish heals everything, lets all messages come to their end, reads them
// from the owner, and checks the history.
func (p *Places) Finish() []check.Breach {
	p.Calm()
	p.Unsound, p.LoseAns = 0, 0
	for _, s := range p.stores {
		s.start()
	}
	for _, a := range p.adapters {
		a.frozen = 0
		a.start()
	}
	p.Run(p.now + 130*time.Second)
	for _, s := range p.H.Sent {
		if s.Told == check.Undecided { // ask for a definite fate, as a caller would
			p.reach(beat.Default.Charter, func(o placeOwner, answer func(any)) { o.Settle(&wire.Settle{Id: s.Id, Lane: s.Lane}, answer) },
				func(*wire.Taken, bool) {})
			p.Run(p.now + time.Second)
		}
		for range 20 {
			for _, st := range p.stores {
				p.askStore("caller", st, func(o placeOwner, answer func(any)) { o.Look(&wire.Look{Id: s.Id, Body: true}, answer) }, func(reply any) {
					if got, isSight := reply.(*wire.Sight); isSight && got.Kind != string(mishap.NotOwner) {
						end := check.End{State: got.State, Attempt: got.Proof.Attempt, Worker: got.Proof.Worker, Sum: got.Proof.Sum, BodySum: got.Sum}
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
	breaches := check.Check(p.H)
	for _, s := range p.H.Sent {
		if state := p.H.Ends[s.Id].State; s.Told == check.Taken && (state == "held" || state == "started") {
			breaches = append(breaches, check.Breach{Rule: "never over", Text: s.Id + " is " + state + " long after its cutoff"})
		}
	}
	return breaches
}
