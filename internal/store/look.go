package store

import (
	"slices"
	"time"

	"caperwheel/internal/errs"
	"caperwheel/internal/place"
	"caperwheel/internal/timing"
	"caperwheel/internal/wire"
)

// onlooker waits for a message's end.
type onlooker struct {
	look   *wire.Look
	until  time.Duration
	answer func(any)
}

// mostOnlookers bounds who may wait at a place; others are answered at once.
const mostOnlookers = 2048

// Look answers from the owner's state, at once or, if it is asked to, when the
// message is over.
func (p *PlaceHost) Look(l *wire.Look, answer func(any)) {
	e := p.machine.Find(l.Id)
	if l.Wait > 0 && e != nil && !e.State.IsOver() && p.host.IsOwner() && p.waiting < mostOnlookers {
		wait := min(time.Duration(l.Wait)*time.Millisecond, p.environment.Bounds().Of(timing.Look))
		p.onlookers[l.Id] = append(p.onlookers[l.Id], onlooker{l, p.environment.Now() + wait, answer})
		p.waiting++
		return
	}
	p.see(l, answer)
}

// see: the owner must have been confirmed so lately that nobody else can have
// become owner since.
func (p *PlaceHost) see(l *wire.Look, answer func(any)) {
	if v := p.host.View(); !p.host.IsOwner() || p.environment.Now()-v.Confirmed > p.environment.Bounds().Of(timing.Lease) {
		answer(p.sight(nil, errs.NotOwner))
		return
	}
	e := p.machine.Find(l.Id)
	if e == nil {
		answer(p.sight(nil, errs.Unknown))
		return
	}
	out := p.sight(e, "")
	if !l.Body {
		out.Body = []byte{}
	}
	answer(out)
}

// tellOnlookers answers those whose message is over, or whose wait is.
func (p *PlaceHost) tellOnlookers(isDue func(id string, o onlooker) bool) {
	for id, list := range p.onlookers {
		p.onlookers[id] = slices.DeleteFunc(list, func(o onlooker) bool {
			if !isDue(id, o) {
				return false
			}
			p.waiting--
			p.see(o.look, o.answer)
			return true
		})
		if len(p.onlookers[id]) == 0 {
			delete(p.onlookers, id)
		}
	}
}

func (p *PlaceHost) sight(e *place.Message, kind errs.Kind) *wire.Sight {
	if e == nil {
		return &wire.Sight{Kind: string(kind), Owner: p.ownerName(), Body: []byte{}, Proof: wire.Proof{Answer: []byte{}}}
	}
	out := &wire.Sight{Id: e.Id, Lane: e.Lane, Key: e.Key, State: string(e.State), Attempts: e.Attempt, Cause: e.Cause,
		Ctype: e.Ctype, Body: e.Body, Sum: e.Sum, Parent: e.Parent, Child: e.Child, Proof: e.Proof}
	if out.Body == nil {
		out.Body = []byte{}
	}
	if out.Proof.Answer == nil {
		out.Proof.Answer = []byte{}
	}
	return out
}
