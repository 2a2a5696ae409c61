package store

import (
	"slices"
	"time"

	"caperwheel/internal/errs"
	"caperwheel/internal/place"
	"caperwheel/internal/timing"
	"caperwheel/internal/wire"
)

// waiter is a caller that waits for a message's end.
type waiter struct {
	look   *wire.Look
	until  time.Duration
	answer func(any)
}

// maxWaiters limits the waiters of a place; further callers are answered at once.
const maxWaiters = 2048

// Look answers a query for a message from the owner's state: at once, or, if the query asks to wait, when the message
// has ended.
func (p *PlaceHost) Look(l *wire.Look, answer func(any)) {
	if l.Claim.Operation != "" {
		p.Claim(l, answer)
		return
	}
	e := p.machine.Find(l.Id)
	if l.Wait > 0 && e != nil && !e.State.IsOver() && p.host.IsOwner() && p.waiterCount < maxWaiters {
		wait := min(time.Duration(l.Wait)*time.Millisecond, p.environment.Bounds().Of(timing.LongPollTimeout))
		p.waiters[l.Id] = append(p.waiters[l.Id], waiter{l, p.environment.Now() + wait, answer})
		p.waiterCount++
		return
	}
	p.answerLook(l, p.environment.Now(), answer)
}

// answerLook answers from the owner's state. The end of a message is final, so it may be answered at any time.
// Anything else is answered only after a majority has confirmed the ownership since the query arrived: a successor may
// take over without waiting for an election timeout, because it was called on or because it considers this store gone,
// and may have accepted and ended messages that this store has not received.
func (p *PlaceHost) answerLook(l *wire.Look, askedAt time.Duration, answer func(any)) {
	v, e := p.host.View(), p.machine.Find(l.Id)
	switch {
	case !p.host.IsOwner():
		answer(p.newSight(nil, errs.NotOwner))
	case e != nil && e.State.IsOver(), v.IsConfirmed && v.ConfirmedAt >= askedAt:
		answer(p.lookReply(l, e))
	case p.environment.Now()-askedAt > p.environment.Bounds().Of(timing.AnswerTimeout):
		answer(p.newSight(nil, errs.NotOwner))
	default:
		p.environment.After(p.environment.Bounds().Of(timing.Heartbeat)/4, func() {
			if err := p.host.Do(func() { p.answerLook(l, askedAt, answer) }); err != nil {
				answer(&wire.Sight{Kind: string(errs.Full), Body: []byte{}, Proof: wire.Proof{Answer: []byte{}}})
			}
		})
	}
}

// lookReply returns the reply for a message, or Unknown if e is nil.
func (p *PlaceHost) lookReply(l *wire.Look, message *place.Message) *wire.Sight {
	if message == nil {
		return p.newSight(nil, errs.Unknown)
	}
	out := p.newSight(message, "")
	if !l.Body {
		out.Body = []byte{}
	}
	return out
}

// answerWaiters answers the waiters for which isDue is true: their message has ended or their wait is over.
func (p *PlaceHost) answerWaiters(isDue func(id string, w waiter) bool) {
	for id, list := range p.waiters {
		p.waiters[id] = slices.DeleteFunc(list, func(w waiter) bool {
			if !isDue(id, w) {
				return false
			}
			p.waiterCount--
			p.answerLook(w.look, p.environment.Now(), w.answer)
			return true
		})
		if len(p.waiters[id]) == 0 {
			delete(p.waiters, id)
		}
	}
}

// newSight builds a reply with what is known of a message, or with an error kind if e is nil.
func (p *PlaceHost) newSight(e *place.Message, kind errs.Kind) *wire.Sight {
	if e == nil {
		return &wire.Sight{Kind: string(kind), Owner: p.ownerName(), Body: []byte{}, Proof: wire.Proof{Answer: []byte{}}}
	}
	out := &wire.Sight{Id: e.Id, Lane: e.Lane, Key: e.Key, State: string(e.State), Attempts: e.Attempt, Cause: e.Cause,
		ContentType: e.ContentType, Body: e.Body, Checksum: e.Checksum, Parent: e.Parent, Child: e.Child, Proof: e.Proof}
	if out.Body == nil {
		out.Body = []byte{}
	}
	if out.Proof.Answer == nil {
		out.Proof.Answer = []byte{}
	}
	return out
}
